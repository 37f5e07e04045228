package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

// Faults are the faults in force at a platform stand-in.
type Faults struct {
	// Down closes the port and all connections.
	Down bool `json:"down"`
	// DelayMs delays each call before it takes effect.
	DelayMs int64 `json:"delay_ms"`
	// LoseReplies is the number of writes that take effect while the connection
	// is dropped without a reply.
	LoseReplies int `json:"lose_replies"`
	// StaleReads makes reads and lists return the version before the present one.
	StaleReads bool `json:"stale_reads"`
	// Hidden names an object that reads and lists omit, as if it had not been
	// created yet; writes and watches know it.
	Hidden string `json:"hidden"`
	// LagMs is how far the instance list lags behind.
	LagMs int64 `json:"lag_ms"`
}

func (f Faults) lag() time.Duration { return time.Duration(f.LagMs) * time.Millisecond }

func (f Faults) validate() error {
	if f.DelayMs < 0 || f.LoseReplies < 0 || f.LagMs < 0 {
		return errors.New("a fault is negative")
	}
	return nil
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return errors.Trace(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Down && p.service != nil {
		p.service.close()
		p.service = nil
	}
	if !faults.Down && p.service == nil {
		service, err := serve(p.address, http.HandlerFunc(p.serve))
		if err != nil {
			return errors.Annotate(err, "listen again")
		}
		p.service = service
	}
	p.faults = faults
	return nil
}

func (p *Platform) pause() {
	time.Sleep(time.Duration(p.currentFaults().DelayMs) * time.Millisecond)
}

// loseReply drops the connection of the present request if a reply is to be
// lost.
func (p *Platform) loseReply() {
	p.mu.Lock()
	lose := p.faults.LoseReplies > 0
	if lose {
		p.faults.LoseReplies--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.budget.stats())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.currentFaults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		// Faults that the request leaves out stay as they are.
		faults := p.currentFaults()
		if !readJSON(w, r, &faults) {
			return
		}
		if err := p.SetFaults(faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.config.Log.Info("faults set", "faults", faults)
		writeJSON(w, http.StatusOK, faults)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var list []objectstore.Instance
		if !readJSON(w, r, &list) {
			return
		}
		p.instances.set(time.Now(), list)
		writeJSON(w, http.StatusOK, list)
	})
	return mux
}

// readJSON reads the body strictly and answers 400 if it does not parse.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, objectstore.MaxValueBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// instanceList keeps the lists of the past, so that it can lag behind.
type instanceList struct {
	mu    sync.Mutex
	lists []timedInstances
}

type timedInstances struct {
	since     time.Time
	instances []objectstore.Instance
}

func newInstanceList() *instanceList {
	return &instanceList{lists: []timedInstances{{instances: []objectstore.Instance{}}}}
}

func (l *instanceList) set(now time.Time, instances []objectstore.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = append(l.lists, timedInstances{since: now, instances: instances})
}

// at returns the list that was in force lag ago.
func (l *instanceList) at(now time.Time, lag time.Duration) []objectstore.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.lists) - 1; i > 0; i-- {
		if now.Sub(l.lists[i].since) >= lag {
			return l.lists[i].instances
		}
	}
	return l.lists[0].instances
}
