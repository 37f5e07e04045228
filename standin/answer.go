package standin

import (
	"net/http"
	"time"
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Index    string `json:"index"`
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	Query    string `json:"query"`
}

// SearchBody is the body of a search answer. It names all that belongs to the
// work, so that a check finds every answer that was merged wrongly.
type SearchBody struct {
	Index       string `json:"index"`
	Shard       uint32 `json:"shard"`
	Snapshot    string `json:"snapshot"`
	ShardsTotal uint32 `json:"shards_total"`
	WorkID      string `json:"work_id"`
	Query       string `json:"query"`
	Searcher    string `json:"searcher"`
}

type searchAnswer struct {
	WorkID   string     `json:"work_id"`
	Index    string     `json:"index"`
	Shard    uint32     `json:"shard"`
	Snapshot string     `json:"snapshot"`
	Body     SearchBody `json:"body"`
}

// RunRequest is the body of POST /v1/run.
type RunRequest struct {
	Key  string `json:"key"`
	Item string `json:"item"`
}

// RunBody is the body of the answer to a booking.
type RunBody struct {
	Key      string `json:"key"`
	Item     string `json:"item"`
	WorkID   string `json:"work_id"`
	Searcher string `json:"searcher"`
}

type runAnswer struct {
	WorkID string  `json:"work_id"`
	Key    string  `json:"key"`
	Body   RunBody `json:"body"`
}

type stateAnswer struct {
	Draining  bool       `json:"draining"`
	Load      float64    `json:"load"`
	Snapshots []Snapshot `json:"snapshots"`
}

func (s *searcher) serveSearch(w http.ResponseWriter, r *http.Request) {
	var request SearchRequest
	var snapshot Snapshot
	s.serveWork(w, r, &request, false, func() *refusal {
		if s.otherSnapshot {
			request.Snapshot = s.layouts.newest(request.Index, request.Snapshot)
		}
		held, ok := s.layouts.find(request.Index, request.Snapshot, request.Shard)
		if !ok {
			s.facts.RefusedSnapshot++
			return &refusal{http.StatusGone, "snapshot is not held"}
		}
		snapshot = held
		s.host.searches.started(request, time.Now())
		return nil
	}, func(id string) any {
		s.host.searches.answered(request, time.Now())
		return searchAnswer{
			WorkID: id, Index: request.Index, Shard: request.Shard, Snapshot: request.Snapshot,
			Body: SearchBody{
				Index: request.Index, Shard: request.Shard, Snapshot: snapshot.ID,
				ShardsTotal: snapshot.ShardsTotal, WorkID: id, Query: request.Query, Searcher: s.id,
			},
		}
	})
}

func (s *searcher) serveRun(w http.ResponseWriter, r *http.Request) {
	var request RunRequest
	s.serveWork(w, r, &request, true, func() *refusal {
		if request.Key == "" {
			s.facts.BadRequests++
			return &refusal{http.StatusBadRequest, "key is missing"}
		}
		s.host.bookings.add(request.Key)
		return nil
	}, func(id string) any {
		return runAnswer{WorkID: id, Key: request.Key, Body: RunBody{
			Key: request.Key, Item: request.Item, WorkID: id, Searcher: s.id,
		}}
	})
}

// serveWork reads a request, runs its work and answers. The work goes on when
// the connection is closed.
func (s *searcher) serveWork(w http.ResponseWriter, r *http.Request, request any, booking bool,
	accept func() *refusal, answer func(id string) any) {
	incarnation := s.currentIncarnation()
	o, err := readOrder(r, booking)
	if err != nil {
		s.countBad()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.incarnation = incarnation
	if !readJSON(w, r, request) {
		s.countBad()
		return
	}
	if !s.awaitAnswering(r.Context()) {
		return
	}
	started, refused := s.start(o, accept)
	if refused == nil {
		select {
		case <-started.done:
		case <-r.Context().Done():
			s.countAbandoned()
			return
		}
	}
	if !s.awaitAnswering(r.Context()) {
		return
	}
	switch {
	case refused != nil && refused.status == 0:
		panic(http.ErrAbortHandler)
	case refused != nil:
		writeJSON(w, refused.status, map[string]string{"work_id": o.id, "reason": refused.reason})
	case started.ending == endDone:
		writeJSON(w, http.StatusOK, answer(o.id))
	case started.ending == endLost:
		panic(http.ErrAbortHandler)
	default:
		// Not 504, which states that the work was not run.
		writeJSON(w, http.StatusInternalServerError, map[string]string{"work_id": o.id, "reason": "stopped before its end"})
	}
}

func (s *searcher) countBad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.facts.BadRequests++
}

func (s *searcher) countAbandoned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.facts.Abandoned++
}

func (s *searcher) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !s.awaitAnswering(r.Context()) {
		return
	}
	id := r.PathValue("id")
	state := "unknown"
	if s.cancel(id) {
		state = "cancelled"
	}
	writeJSON(w, http.StatusOK, map[string]string{"work_id": id, "state": state})
}

func (s *searcher) serveState(w http.ResponseWriter, r *http.Request) {
	if !s.awaitAnswering(r.Context()) {
		return
	}
	writeJSON(w, http.StatusOK, s.state(time.Now()))
}

// state returns the reading in force; a new one is taken when the lag has
// passed. A misleading searcher never drains and reports the opposite load.
func (s *searcher) state(now time.Time) stateAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readAt.IsZero() || now.Sub(s.readAt) >= s.behaviour.StateLag {
		s.readAt = now
		s.published = stateAnswer{
			Draining:  !s.drainedAt.IsZero(),
			Load:      float64(len(s.running)) / float64(max(s.limits.Slots, 1)),
			Snapshots: append([]Snapshot{}, s.layouts.held...),
		}
	}
	reading := s.published
	if s.mislead {
		reading.Draining = false
		reading.Load = max(0, 1-reading.Load)
	}
	return reading
}
