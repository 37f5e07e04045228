// Package site provides stand-ins for the users' platform: its store, and the
// searchers, which speak the published protocol, can be made to fail, and record
// what ran.
package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
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

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	w.Header().Set("Store-Era", strconv.FormatInt(s.epoch, 10))
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodPut && isStatus:
		s.serveStatus(w, r, kind, name, faults)
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name, faults)
	case r.Method == http.MethodDelete:
		s.serveDelete(w, kind, name, faults)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

// pageItems is how many objects one answer to a listing holds.
const pageItems = 50

func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	items := make([]storedObject, 0, pageItems)
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		http.Error(w, "watch and wait_ms are not numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, revision, gone, deaf := s.changed, s.revision, from < s.forgotten || from > s.revision, s.faults.Deaf
		events := s.since(kind, from)
		w.Header().Set("Store-Era", strconv.FormatInt(s.epoch, 10))
		s.mu.Unlock()
		if gone && !deaf {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(events) > 0 && !deaf {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			if deaf {
				<-r.Context().Done() // a deaf watch ends with its caller's patience
				return
			}
			reply(w, http.StatusOK, map[string]any{"events": []change{}, "store_revision": revision})
			return
		}
	}
}

func (s *Store) since(kind string, revision int64) []change {
	var events []change
	for _, c := range s.history {
		if c.Kind == kind && c.Object.Meta.Revision > revision {
			events = append(events, c)
		}
	}
	return events
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, faults StoreFaults) {
	var o storedObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Meta.Name
		if held, ok := s.kinds[kind][name]; ok {
			reply(w, http.StatusConflict, held)
			return
		}
	}
	held, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPut && !ok:
		http.Error(w, "no such object", http.StatusNotFound)
		return
	case ok && o.Meta.Revision != 0 && o.Meta.Revision != held.Meta.Revision:
		reply(w, http.StatusConflict, held)
		return
	}
	o = s.put(kind, name, o.Spec)
	if faults.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, o)
}

// serveStatus replaces the status of an object. A condition on the revision is checked.
func (s *Store) serveStatus(w http.ResponseWriter, r *http.Request, kind, name string, faults StoreFaults) {
	var o storedObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.kinds[kind][name]
	switch {
	case !ok:
		http.Error(w, "no such object", http.StatusNotFound)
		return
	case o.Meta.Revision != 0 && o.Meta.Revision != held.Meta.Revision:
		reply(w, http.StatusConflict, held)
		return
	}
	if !bytes.Equal(o.Status, held.Status) {
		s.revision++
		held.Meta.Revision, held.Status = s.revision, o.Status
		s.kinds[kind][name] = held
		s.history = append(s.history, change{Kind: kind, Object: held})
		s.wake()
	}
	if faults.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, held)
}

// Status returns the status of an object, nil if it has none or does not exist.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Status
}

func (s *Store) serveDelete(w http.ResponseWriter, kind, name string, faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.remove(kind, name) {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if faults.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, map[string]any{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // a fault of the stand-in
	}
	foreignSpecs.Range(func(token, spec any) bool {
		text = bytes.ReplaceAll(text, []byte(token.(string)), spec.([]byte))
		return true
	})
	_, _ = w.Write(text) // the caller may have gone
}
