package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// watched gets the watches that begin while somebody waits for one.
	watched chan watchCall
}

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// watchCall is a watch that has begun.
type watchCall struct{ kind, address string }

// startStore starts a store on a loopback address.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]object),
		changed: make(chan struct{}), watched: make(chan watchCall),
	}
	go func() { _ = http.Serve(l, s) }() // ends with the process
	return s, nil
}

// listen makes the store listen on another loopback address.
func (s *store) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }() // ends with the process
	return l.Addr().String(), nil
}

// awaitWatch waits until a watch of a kind begins at an address of the store.
func (s *store) awaitWatch(kind, address string) {
	for {
		if w := <-s.watched; w.kind == kind && w.address == address {
			return
		}
	}
}

// began tells awaitWatch of a watch.
func (s *store) began(kind string, r *http.Request) {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return
	}
	select {
	case s.watched <- watchCall{kind: kind, address: local.String()}:
	default: // nobody waits
	}
}

// put writes an object, as the operator and the searchers do. It returns its revision.
func (s *store) put(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, text).Meta.Revision
}

// remove deletes an object and reports whether it existed.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	s.publish(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
	return true
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for name := range s.objects[kind] {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o := s.objects[kind][name]
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	s.objects[kind][name] = o
	s.publish(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			http.Error(w, "{}", http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, map[string]any{})
	default:
		http.Error(w, "{}", http.StatusNotFound)
	}
}

// pageItems is the number of objects on a page of a listing.
const pageItems = 50

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	var items []object
	more := false
	names := s.names(kind)
	s.mu.Lock()
	for _, name := range names {
		o, ok := s.objects[kind][name]
		if !ok || name <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "{}", http.StatusBadRequest)
		return
	}
	s.began(kind, r)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "{}", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	held, ok := s.objects[kind][name]
	switch {
	case ok && r.Method == http.MethodPost, ok && o.Meta.Revision != 0 && o.Meta.Revision != held.Meta.Revision:
		answer(w, http.StatusConflict, held)
	case !ok && r.Method == http.MethodPut:
		http.Error(w, "{}", http.StatusNotFound)
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
