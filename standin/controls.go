package standin

import (
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Control changes the searchers that match all selectors. At least one
// selector is required; "*" matches everything.
type Control struct {
	Searcher      string `json:"searcher"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
	Set           Change `json:"set"`
}

// Change holds what is to change; fields that are left out stay as they are.
type Change struct {
	// Cold turns searchers cold without notice, or warm.
	Cold *bool `json:"cold,omitempty"`
	// Restart drops connections and work and starts the searcher again, cold.
	Restart         bool         `json:"restart,omitempty"`
	Drain           *bool        `json:"drain,omitempty"`
	StragglerShare  *float64     `json:"straggler_share,omitempty"`
	StragglerFactor *float64     `json:"straggler_factor,omitempty"`
	ServiceTimeMs   *float64     `json:"service_time_ms,omitempty"`
	Sigma           *float64     `json:"sigma,omitempty"`
	Mode            *Mode        `json:"mode,omitempty"`
	ShedShare       *float64     `json:"shed_share,omitempty"`
	Mislead         *bool        `json:"mislead,omitempty"`
	StateLagMs      *int64       `json:"state_lag_ms,omitempty"`
	AddSnapshot     *NewSnapshot `json:"add_snapshot,omitempty"`
	DropSnapshot    string       `json:"drop_snapshot,omitempty"`
	// OtherSnapshot makes searchers run searches in the newest snapshot they hold,
	// whichever was asked for. Their answers name the snapshot truly.
	OtherSnapshot *bool `json:"other_snapshot,omitempty"`
	ResetFacts    bool  `json:"reset_facts,omitempty"`
}

func (c Control) validate() error {
	if c.Searcher == "" && c.FailureDomain == "" && c.Service == "" {
		return errors.New("searcher, failure_domain or service is required")
	}
	set := c.Set
	if set.AddSnapshot != nil {
		if err := set.AddSnapshot.validate(); err != nil {
			return errors.Trace(err)
		}
	}
	if set.Mode != nil && !slices.Contains([]Mode{ModeOK, ModeFail, ModeHang, ModeDown}, *set.Mode) {
		return errors.Errorf("mode %q is not ok, fail, hang or down", *set.Mode)
	}
	for _, share := range []*float64{set.StragglerShare, set.ShedShare} {
		if share != nil && (*share < 0 || *share > 1) {
			return errors.New("a share is not between 0 and 1")
		}
	}
	if set.ServiceTimeMs != nil && *set.ServiceTimeMs <= 0 || set.StragglerFactor != nil && *set.StragglerFactor < 1 ||
		set.Sigma != nil && *set.Sigma < 0 || set.StateLagMs != nil && *set.StateLagMs < 0 {
		return errors.New("a time or factor is too small")
	}
	return nil
}

func (c Control) matches(s *searcher) bool {
	match := func(selector string, names ...string) bool {
		return selector == "" || selector == "*" || slices.Contains(names, selector)
	}
	return match(c.Searcher, s.id) && match(c.FailureDomain, s.domain) && match(c.Service, s.services...)
}

// Apply changes the matching searchers and returns their number.
func (u *Upstream) Apply(c Control) (int, error) {
	if err := c.validate(); err != nil {
		return 0, errors.Trace(err)
	}
	matched := 0
	for _, s := range u.searchers {
		if !c.matches(s) {
			continue
		}
		matched++
		if err := s.apply(c.Set); err != nil {
			return matched, errors.Annotatef(err, "searcher %q", s.id)
		}
	}
	if c.Set.ResetFacts && matched == len(u.searchers) {
		u.starts.reset()
		u.bookings.reset()
		u.searches.reset()
	}
	return matched, nil
}

func (s *searcher) apply(c Change) error {
	// The port closes first, so that requests held by a hang end with it.
	if c.Restart || c.Mode != nil && *c.Mode == ModeDown {
		s.close()
	}
	s.change(c)
	if c.Restart {
		s.mu.Lock()
		s.turnCold(true)
		s.mu.Unlock()
	}
	s.mu.Lock()
	open := s.mode != ModeDown
	s.mu.Unlock()
	if open {
		return errors.Trace(s.listen())
	}
	return nil
}

// change applies all that does not concern the port.
func (s *searcher) change(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.behaviour.StragglerShare, c.StragglerShare)
	set(&s.behaviour.StragglerFactor, c.StragglerFactor)
	set(&s.behaviour.Sigma, c.Sigma)
	set(&s.shedShare, c.ShedShare)
	set(&s.mislead, c.Mislead)
	set(&s.otherSnapshot, c.OtherSnapshot)
	if c.ServiceTimeMs != nil {
		took := time.Duration(*c.ServiceTimeMs * float64(time.Millisecond))
		s.behaviour.ServiceTime, s.behaviour.BookingTime = took, took
	}
	if c.StateLagMs != nil {
		s.behaviour.StateLag = time.Duration(*c.StateLagMs) * time.Millisecond
	}
	if c.Cold != nil && *c.Cold {
		s.turnCold(false)
	} else if c.Cold != nil {
		s.cold = false
	}
	if c.Drain != nil && !*c.Drain {
		s.drainedAt = time.Time{}
	} else if c.Drain != nil && s.drainedAt.IsZero() {
		s.drainedAt = time.Now()
	}
	s.setMode(c.Mode)
	if c.AddSnapshot != nil {
		s.layouts.add(*c.AddSnapshot)
	}
	if c.DropSnapshot != "" {
		s.layouts.drop(c.DropSnapshot)
	}
	if c.ResetFacts {
		s.facts = SearcherFacts{PeakRunning: len(s.running)}
		s.conns.reset()
	}
}

// setMode ends or begins a hang. The caller holds the lock.
func (s *searcher) setMode(mode *Mode) {
	if mode == nil || *mode == s.mode {
		return
	}
	s.mode = *mode
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
	if s.mode == ModeHang {
		s.resumed = make(chan struct{})
	}
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (u *Upstream) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /facts", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, u.Facts(r.URL.Query().Get("keys") == "1"))
	})
	mux.HandleFunc("POST /facts/searches", u.serveSearches)
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var control Control
		if !readJSON(w, r, &control) {
			return
		}
		matched, err := u.Apply(control)
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		case matched == 0:
			http.Error(w, "no searcher matches", http.StatusNotFound)
		default:
			u.config.Log.Info("control applied", "control", control, "searchers", matched)
			writeJSON(w, http.StatusOK, map[string]int{"searchers": matched})
		}
	})
	return mux
}
