package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
)

// maxOpenLines limits the lines that LogOpen writes.
const maxOpenLines = 50

// Stages of a request that is being served.
const (
	stageReading    = "reading the request"
	stageWaiting    = "waiting for a searcher"
	stageAtSearcher = "at a searcher"
	stageWriting    = "writing the answer"
)

// openRequests holds the requests that are being served. It is safe for concurrent use.
type openRequests struct {
	mu  sync.Mutex
	all map[*openRequest]struct{}
}

// openRequest is what is known of a request that is being served. Its methods are safe for
// concurrent use.
type openRequest struct {
	request *http.Request
	// arrived is a time on the boot clock.
	arrived time.Duration

	mu      sync.Mutex
	route   string
	running []*dispatch.Attempt
	writing bool
}

// add adds a request that arrived at a time on the boot clock.
func (s *openRequests) add(r *http.Request, arrived time.Duration) *openRequest {
	o := &openRequest{request: r, arrived: arrived}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[o] = struct{}{}
	return o
}

// remove removes a request that is answered.
func (s *openRequests) remove(o *openRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, o)
}

// byAge returns the requests, the oldest first.
func (s *openRequests) byAge() []*openRequest {
	s.mu.Lock()
	all := make([]*openRequest, 0, len(s.all))
	for o := range s.all {
		all = append(all, o)
	}
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b *openRequest) int { return cmp.Compare(a.arrived, b.arrived) })
	return all
}

// read records that the request was read and has a route.
func (o *openRequest) read(route string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.route = route
}

// started records an attempt.
func (o *openRequest) started(a *dispatch.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running = append(o.running, a)
}

// ended records the end of an attempt.
func (o *openRequest) ended(a *dispatch.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running = slices.DeleteFunc(o.running, func(other *dispatch.Attempt) bool { return other == a })
}

// answering records that the answer is being written.
func (o *openRequest) answering() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = true
}

// state returns the route, the stage and the searchers that have the request.
func (o *openRequest) state() (route, stage string, searchers []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.running {
		if id := a.SearcherID(); id != "" {
			searchers = append(searchers, id)
		}
	}
	switch {
	case o.writing:
		stage = stageWriting
	case o.route == "":
		stage = stageReading
	case len(searchers) == 0:
		stage = stageWaiting
	default:
		stage = stageAtSearcher
	}
	return o.route, stage, searchers
}

// LogOpen writes a line about each request that is being served, the oldest first and at most
// maxOpenLines. It returns the number of these requests.
func (g *Gateway) LogOpen() int {
	all := g.open.byAge()
	now := g.config.Clock.Boottime()
	for _, o := range all[:min(len(all), maxOpenLines)] {
		route, stage, searchers := o.state()
		callerRequest, _ := platform.ReadRequestMetadata(o.request.Header) // the ID is read even if there is an error
		g.requestLog.Write(requestlog.OpenAtEnd, "request", callerRequest.ID, "route", route, "path", o.request.URL.Path,
			"stage", stage, "after_ms", (now - o.arrived).Milliseconds(), "searchers", searchers)
	}
	return len(all)
}
