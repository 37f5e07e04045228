package standin

import (
	"net/http"
	"sync"
	"time"
)

// rememberedQueries bounds the queries of each of the two generations that a
// searchLog keeps. A load of 1000 searches a second fills one in two minutes.
const rememberedQueries = 1 << 17

// SearchRun counts the work on one shard of a query in one snapshot: the work
// that was started, and the answers that were written.
type SearchRun struct {
	Snapshot string `json:"snapshot"`
	Shard    uint32 `json:"shard"`
	Started  int    `json:"started"`
	Answered int    `json:"answered"`
}

// SearchQuestion asks what ran for the given queries.
type SearchQuestion struct {
	Queries []string `json:"queries"`
}

// SearchFacts are the runs of searches by query, without queries for which
// nothing was started. Queries first seen at ForgottenUnixMs or earlier may
// have been forgotten; zero means that none was.
type SearchFacts struct {
	Runs            map[string][]SearchRun `json:"runs"`
	ForgottenUnixMs int64                  `json:"forgotten_unix_ms"`
}

// searchLog records what ran for each query, in two generations. When the newer
// one is full the older one is forgotten, so that memory is bounded.
type searchLog struct {
	mu        sync.Mutex
	limit     int
	newer     map[string][]SearchRun
	older     map[string][]SearchRun
	turnedMs  int64
	forgotten int64
}

func newSearchLog(limit int) *searchLog {
	return &searchLog{limit: limit, newer: make(map[string][]SearchRun)}
}

func (l *searchLog) started(r SearchRequest, now time.Time) {
	l.record(r, now, func(run *SearchRun) { run.Started++ })
}

func (l *searchLog) answered(r SearchRequest, now time.Time) {
	l.record(r, now, func(run *SearchRun) { run.Answered++ })
}

func (l *searchLog) record(r SearchRequest, now time.Time, count func(*SearchRun)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	generation := l.newer
	if l.older[r.Query] != nil {
		generation = l.older
	} else if l.newer[r.Query] == nil && len(l.newer) >= l.limit {
		if l.older != nil {
			l.forgotten = l.turnedMs
		}
		l.older, l.newer = l.newer, make(map[string][]SearchRun)
		l.turnedMs = now.UnixMilli()
		generation = l.newer
	}
	runs := generation[r.Query]
	for i := range runs {
		if runs[i].Shard == r.Shard && runs[i].Snapshot == r.Snapshot {
			count(&runs[i])
			return
		}
	}
	run := SearchRun{Snapshot: r.Snapshot, Shard: r.Shard}
	count(&run)
	generation[r.Query] = append(runs, run)
}

func (l *searchLog) facts(queries []string) SearchFacts {
	l.mu.Lock()
	defer l.mu.Unlock()
	facts := SearchFacts{Runs: make(map[string][]SearchRun), ForgottenUnixMs: l.forgotten}
	for _, query := range queries {
		runs := l.newer[query]
		if runs == nil {
			runs = l.older[query]
		}
		if runs != nil {
			facts.Runs[query] = append([]SearchRun(nil), runs...)
		}
	}
	return facts
}

func (l *searchLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newer, l.older, l.forgotten = make(map[string][]SearchRun), nil, 0
}

// Searches returns what ran for the given queries.
func (u *Upstream) Searches(queries []string) SearchFacts { return u.searches.facts(queries) }

func (u *Upstream) serveSearches(w http.ResponseWriter, r *http.Request) {
	var question SearchQuestion
	if readJSON(w, r, &question) {
		writeJSON(w, http.StatusOK, u.Searches(question.Queries))
	}
}
