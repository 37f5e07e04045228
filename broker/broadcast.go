package broker

import "sync"

// broadcast wakes any number of waiting goroutines.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{c: make(chan struct{})} }

// next returns a channel that is closed by the next notify.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.c
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.c)
	b.c = make(chan struct{})
}
