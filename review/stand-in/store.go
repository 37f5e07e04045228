package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: objects by kind and name, one revision
// counter, listings, watches and conditional writes.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	// down makes every call answer 503.
	down bool
}

type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as the operator and the searchers do.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// remove removes an object, for example an entry that has expired.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	held, ok := s.kinds[kind][name]
	if ok && string(held.Spec) == string(spec) {
		return held
	}
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o := object{Spec: spec}
	o.Meta.Name, o.Meta.Revision, o.Meta.Created = name, s.revision, s.revision
	o.Meta.Finalizers = []string{}
	if ok {
		o.Meta.Created = held.Meta.Created
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{kind: kind, Object: o})
	s.wake()
	return o
}

func (s *store) delete(kind, name string) bool {
	o, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	o.Meta.Revision = s.revision
	s.history = append(s.history, change{kind: kind, Object: o, Deleted: true})
	s.wake()
	return true
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	items := make([]object, 0, len(names))
	for _, name := range names[:min(len(names), 500)] {
		items = append(items, s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		changed, revision, down := s.changed, s.revision, s.down
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Meta.Revision > from {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	condition := o.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	held, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		writeJSON(w, http.StatusConflict, held)
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodPost && condition != 0 && condition != held.Meta.Revision:
		writeJSON(w, http.StatusConflict, held)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		writeJSON(w, http.StatusOK, held)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
