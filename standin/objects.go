package standin

import (
	"sort"
	"strings"
	"sync"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

// object is a stored value with the one before it, which stale reads return.
type object struct {
	current  objectstore.Object
	previous *objectstore.Object
}

// objects is the store behind the platform stand-in.
type objects struct {
	mu      sync.Mutex
	version uint64
	byName  map[string]*object
	changed chan struct{}
}

func newObjects() *objects {
	return &objects{byName: make(map[string]*object), changed: make(chan struct{})}
}

// get returns the object. A stale reading is of the version before the present
// one, if there was one.
func (o *objects) get(name string, stale bool) (objectstore.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored, ok := o.byName[name]
	if !ok {
		return objectstore.Object{}, false
	}
	return stored.read(stale), true
}

func (o *object) read(stale bool) objectstore.Object {
	if stale && o.previous != nil {
		return *o.previous
	}
	return o.current
}

// put writes the object if match accepts its present version, which is zero
// for an object that does not exist.
func (o *objects) put(name string, value []byte, match func(version uint64) bool) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored := o.byName[name]
	var present uint64
	if stored != nil {
		present = stored.current.Version
	}
	if !match(present) {
		return 0, false
	}
	o.version++
	next := &object{current: objectstore.Object{Name: name, Version: o.version, Value: value}}
	if stored != nil {
		previous := stored.current
		next.previous = &previous
	}
	o.byName[name] = next
	o.wake()
	return o.version, true
}

// remove deletes the object if match accepts its version. found is false if
// there is none.
func (o *objects) remove(name string, match func(version uint64) bool) (found, removed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored, ok := o.byName[name]
	if !ok {
		return false, false
	}
	if !match(stored.current.Version) {
		return true, false
	}
	o.version++
	delete(o.byName, name)
	o.wake()
	return true, true
}

// wake ends the wait of all watches. The caller holds the lock.
func (o *objects) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// after returns the objects with the prefix whose versions are greater than
// version, sorted by name, and a channel that is closed at the next change.
func (o *objects) after(prefix string, version uint64, stale bool) ([]objectstore.Object, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []objectstore.Object
	for name, stored := range o.byName {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if reading := stored.read(stale); reading.Version > version {
			found = append(found, reading)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, o.changed
}
