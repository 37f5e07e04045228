package exchange

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/fleet"
)

// TestDigestEncoding guards against a digest that is changed on the way, and against bytes of
// another sender that end the process.
func TestDigestEncoding(t *testing.T) {
	entries := []fleet.DigestEntry{
		{Key: 1<<63 + 5, Age: 1230 * time.Millisecond, Status: fleet.HeartbeatStatus{Ready: true}},
		{Key: 7, Status: fleet.HeartbeatStatus{StoreReachable: true, Load: 0.125}},
	}
	decoded, err := decodeDigest(encodeDigest(entries))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded, qt.DeepEquals, entries)
	for _, b := range [][]byte{nil, {2}, {1, 0}, encodeDigest(entries)[:15]} {
		_, err := decodeDigest(b)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%v", b))
	}
}
