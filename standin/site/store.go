// Package site provides stand-ins for the users' platform: its store, and the
// searchers, which speak the published protocol, can be made to fail, and record
// what ran.
package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]storedObject
	history  []change
	// forgotten is the revision up to which history is gone.
	forgotten int64
	changed   chan struct{}
	faults    StoreFaults
	calls     int
	epoch     int64
}

// StoreCopy is a copy of a store's content, to restore it from.
type StoreCopy struct {
	revision int64
	kinds    map[string]map[string]storedObject
}

// StoreFaults is how the store misbehaves.
type StoreFaults struct {
	// Down makes each call answer 503.
	Down bool
	// Deaf makes waiting watches hear of no change.
	Deaf bool
	// LoseWrites makes writes take effect without an answer.
	LoseWrites bool
	// Delay is added to each call.
	Delay time.Duration
}

type storedObject struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	Kind    string       `json:"-"`
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, epoch: 1, kinds: make(map[string]map[string]storedObject), changed: make(chan struct{})}
}

// SetFaults changes how the store misbehaves. Waiting watches notice.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{revision: s.revision, kinds: cloneKinds(s.kinds)}
}

// Restore replaces the content by that of a copy and returns the former content. All changes
// since are lost, their revisions are given out again, and the epoch rises.
func (s *Store) Restore(c StoreCopy) StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := StoreCopy{revision: s.revision, kinds: s.kinds}
	s.revision, s.kinds, s.history, s.forgotten = c.revision, cloneKinds(c.kinds), nil, c.revision
	s.epoch++
	s.wake()
	return before
}

// WriteAgain writes the objects of a kind as they were before the last restoration, as their
// writers do. Objects that were written or removed since stay as they are.
func (s *Store) WriteAgain(kind string, before StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	touched := make(map[string]bool)
	for _, c := range s.since(kind, s.forgotten) {
		touched[c.Object.Meta.Name] = true
	}
	for name, o := range before.kinds[kind] {
		if held, ok := s.kinds[kind][name]; !touched[name] && (!ok || !bytes.Equal(held.Spec, o.Spec)) {
			s.put(kind, name, o.Spec)
		}
	}
	for name := range s.kinds[kind] {
		if _, ok := before.kinds[kind][name]; !ok && !touched[name] {
			s.remove(kind, name)
		}
	}
}

func cloneKinds(kinds map[string]map[string]storedObject) map[string]map[string]storedObject {
	c := make(map[string]map[string]storedObject)
	for kind, objects := range kinds {
		c[kind] = maps.Clone(objects)
	}
	return c
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object, as the operator and the searchers do.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a fault of the test that calls it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

// PutBytes writes an object whose content is a JSON text that encoding/json may not accept, such
// as a deeply nested one. It is sent as it is.
func (s *Store) PutBytes(kind, name string, spec []byte) {
	token := fmt.Sprintf("%q", fmt.Sprintf("bytes of %s/%s", kind, name))
	foreignSpecs.Store(token, spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, json.RawMessage(token))
}

// foreignSpecs maps tokens, which stand for the content in stored objects, to the bytes of
// PutBytes.
var foreignSpecs sync.Map

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *Store) put(kind, name string, spec json.RawMessage) storedObject {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]storedObject)
	}
	o := storedObject{Meta: meta{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if old, ok := s.kinds[kind][name]; ok {
		o.Meta.Created, o.Status = old.Meta.Created, old.Status
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{Kind: kind, Object: o})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	o.Meta.Revision = s.revision
	s.history = append(s.history, change{Kind: kind, Object: o, Deleted: true})
	s.wake()
	return true
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Status returns the status of an object, nil if it has none or does not exist.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Status
}
