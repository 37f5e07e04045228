package publish

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

var errLost = errors.New("reply was lost")

// fakeStore keeps objects in memory. The hooks run before and after a Create of
// an object whose name starts with faulty takes effect; an error of either is
// what the caller sees.
type fakeStore struct {
	objectstore.Store
	mu            sync.Mutex
	objects       map[string][]byte
	version       uint64
	before, after func(name string) error
	get           func(name string) error
	faulty        string
	hidden        string // name that List does not show
	listed        int    // rows of all lists
}

func newStore() *fakeStore { return &fakeStore{objects: make(map[string][]byte), faulty: prefix} }

func (s *fakeStore) call(hook func(string) error, name string) error {
	if hook == nil || !strings.HasPrefix(name, s.faulty) {
		return nil
	}
	return hook(name)
}

// names returns the names of the objects with the prefix.
func (s *fakeStore) names(prefix string) []string {
	return slices.DeleteFunc(slices.Collect(maps.Keys(s.objects)), func(name string) bool { return !strings.HasPrefix(name, prefix) })
}

func (s *fakeStore) Create(_ context.Context, name string, value []byte) (uint64, error) {
	if err := s.call(s.before, name); err != nil {
		return 0, err
	}
	if err := s.put(name, value); err != nil {
		return 0, err
	}
	return s.version, s.call(s.after, name)
}

// Update replaces any version.
func (s *fakeStore) Update(_ context.Context, name string, _ uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = value
	return 1, nil
}

func (s *fakeStore) put(name string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; ok {
		return objectstore.ErrConflict
	}
	s.version++
	s.objects[name] = value
	return nil
}

func (s *fakeStore) Get(_ context.Context, name string) (objectstore.Object, error) {
	if err := s.call(s.get, name); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[name]
	if !ok {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return objectstore.Object{Name: name, Version: 1, Value: value}, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []objectstore.Object
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) && name != s.hidden {
			all = append(all, objectstore.Object{Name: name})
		}
	}
	s.listed += len(all)
	return all, nil
}
