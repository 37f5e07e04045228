package gateway

import (
	"sync"

	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// heldReplies holds the replies that a call has received, until its answer is written. Replies
// that come later are released at once.
type heldReplies struct {
	mu      sync.Mutex
	replies []*searcher.Reply
	ended   bool
}

// add holds a reply, which may be nil.
func (h *heldReplies) add(r *searcher.Reply) {
	h.mu.Lock()
	ended := h.ended
	if !ended && r != nil {
		h.replies = append(h.replies, r)
	}
	h.mu.Unlock()
	if ended {
		r.Release()
	}
}

// end releases all replies.
func (h *heldReplies) end() {
	h.mu.Lock()
	h.ended = true
	replies := h.replies
	h.replies = nil
	h.mu.Unlock()
	for _, r := range replies {
		r.Release()
	}
}
