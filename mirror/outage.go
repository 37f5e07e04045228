package mirror

import (
	"context"
	"sync"
	"time"
)

// OutageTracker records whether the store answers. During an outage it lets only one of the
// mirrors probe the store while the others wait, to limit the number of calls to the store.
// The zero value stands for a store that answers. It is safe for concurrent use.
type OutageTracker struct {
	mu sync.Mutex
	// prober is the kind whose mirror probes the store, empty while there is no outage.
	prober string
	// ended is closed when the outage ends.
	ended chan struct{}
}

// maxOutageWait is how long a mirror waits for the one that probes the store, before it
// calls the store itself.
const maxOutageWait = 4 * time.Second

// begin records that the mirror of a kind failed to call the store. If there was no outage
// yet, that mirror becomes the prober.
func (o *OutageTracker) begin(kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == "" {
		o.prober = kind
		o.ended = make(chan struct{})
	}
}

// end records that the outage is over, because a call succeeded or because this instance no
// longer calls the store.
func (o *OutageTracker) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober != "" {
		o.prober = ""
		close(o.ended)
	}
}

// Failing reports whether there is an outage. An outage begins when a call fails. It ends when
// a call succeeds or when this instance no longer calls the store.
func (o *OutageTracker) Failing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prober != ""
}

// wait returns when the mirror of a kind may call the store: at once if there is no outage or
// this mirror is the prober, else at the end of the outage or after maxOutageWait. It also
// returns when ctx ends.
func (o *OutageTracker) wait(ctx context.Context, kind string) {
	o.mu.Lock()
	prober, ended := o.prober, o.ended
	o.mu.Unlock()
	if prober == "" || prober == kind {
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
