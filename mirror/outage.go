package mirror

import (
	"context"
	"sync"
	"time"
)

// OutageTracker makes one mirror ask for all whether the store answers again, since each
// call counts. The zero value is a store that answers.
type OutageTracker struct {
	mu sync.Mutex
	// asks is the kind whose mirror asks, empty while there is no outage.
	asks string
	// ended is closed when the outage ends.
	ended chan struct{}
}

// maxOutageWait bounds how long a mirror relies on another one.
const maxOutageWait = 4 * time.Second

// began notes that a call of the kind's mirror failed.
func (o *OutageTracker) began(kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asks == "" {
		o.asks = kind
		o.ended = make(chan struct{})
	}
}

// over notes that a call succeeded.
func (o *OutageTracker) over() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asks != "" {
		o.asks = ""
		close(o.ended)
	}
}

// Failing reports whether the store did not answer last.
func (o *OutageTracker) Failing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asks != ""
}

// wait returns when the kind's mirror may call the store.
func (o *OutageTracker) wait(ctx context.Context, kind string) {
	o.mu.Lock()
	asks, ended := o.asks, o.ended
	o.mu.Unlock()
	if asks == "" || asks == kind {
		return
	}
	timer := time.NewTimer(maxOutageWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-ended:
	case <-timer.C:
	}
}
