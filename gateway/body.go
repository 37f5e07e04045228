package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// readBody reads the whole body of a request. It returns a refusal if the body is larger than the
// limit, if there is one, if the process has no memory for it, if it isn't there by the deadline
// or by the end of a planned stop, or if it breaks off.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	reader := io.Reader(r.Body)
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	connection := http.NewResponseController(w)
	// A response writer without deadlines has no connection that could be slow.
	_ = connection.SetReadDeadline(time.Now().Add(c.deadline - c.now()))
	endWatch := c.g.stop.interruptAtEnd(connection)
	body, err := c.memory.ReadAll(reader)
	endWatch()
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{}) // as above
		arrival.FromContext(c.ctx).BodyRead()
		c.body = body
		return nil
	}
	// Without it the server reads on after a refused body before it sends the answer.
	w.Header().Set("Connection", "close")
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	if errors.Is(err, memory.ErrExhausted) {
		return c.memoryRefusal()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &refusal{status: http.StatusRequestTimeout, reason: "body did not arrive in time"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
}

// takeCopies takes the memory of the copies of the body that the attempts write. The copies of
// small requests are not taken, because they are written at once.
func (c *call) takeCopies() *refusal {
	if len(c.body) <= maxUncountedCopyBytes {
		return nil
	}
	copies := int64(max(len(c.route.Shards), 1))
	if !c.memory.Grow(copies * int64(len(c.head)+len(c.body))) {
		return c.memoryRefusal()
	}
	return nil
}

// maxUncountedCopyBytes is the largest body whose copies are not taken from the memory budget.
const maxUncountedCopyBytes = 2 << 10

// memoryRefusal returns the refusal of a request for which the process has no memory.
func (c *call) memoryRefusal() *refusal {
	return c.notRunRefusal("memory is in use by other requests", 0)
}
