package site

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

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
