package claim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// simulation simulates one platform object, several processes with a bucket for it, and
// an upstream that counts what it ran.
type simulation struct {
	t           *rapid.T
	version     uint64
	value       []byte
	earlier     []Write // earlier states of the object, for stale reads
	delayed     []Write // writes without a reply that may still take effect
	buckets     []*Bucket
	running     []activeBooking
	runCount    map[string]int
	notRun      map[string]bool // attempts whose callers were told "not run"
	ran         map[string]bool // attempts that ran
	lastAttempt int
	now         time.Duration
}

// activeBooking is a booking that was dispatched and has not finished.
type activeBooking struct {
	bucket  int
	request Request
}

func (s *simulation) apply(write Write) (uint64, bool) {
	if write.Version != s.version {
		return 0, false
	}
	s.earlier = append(s.earlier, Write{Version: s.version, Value: s.value})
	s.version++
	s.value = write.Value
	return s.version, true
}

func (s *simulation) execute(bucket int, decisions []Decision) {
	for _, d := range decisions {
		switch {
		case d.Action == ActionDispatch:
			s.runCount[d.Request.Key]++
			s.ran[d.Request.Attempt] = true
			s.running = append(s.running, activeBooking{bucket, d.Request})
		case d.Err != nil && d.Err.Run == result.RunNo:
			s.notRun[d.Request.Attempt] = true
		}
	}
}

func (s *simulation) check() {
	for key, n := range s.runCount {
		if n > 1 {
			s.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for attempt := range s.notRun {
		if s.ran[attempt] {
			s.t.Fatalf("attempt %s ran although its caller was told that it was not run", attempt)
		}
	}
}

func (s *simulation) step() {
	i := rapid.IntRange(0, len(s.buckets)-1).Draw(s.t, "bucket")
	b := s.buckets[i]
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0, 1:
		s.lastAttempt++
		key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(s.t, "key"))
		b.Submit(Request{Key: key, Attempt: fmt.Sprint(s.lastAttempt), Digest: 1,
			Deadline: s.now + time.Duration(rapid.IntRange(1, 6).Draw(s.t, "deadline"))})
	case 2, 3:
		if err := b.Load(s.version, s.value); err != nil {
			s.t.Fatalf("loading the current object failed: %v", err)
		}
	case 4:
		if len(s.earlier) > 0 {
			o := s.earlier[rapid.IntRange(0, len(s.earlier)-1).Draw(s.t, "older")]
			_ = b.Load(o.Version, o.Value)
		}
	case 5, 6:
		s.write(i, b)
	case 7:
		if len(s.delayed) > 0 {
			s.apply(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	case 8:
		if len(s.running) > 0 {
			r := s.running[0]
			s.running = s.running[1:]
			s.finish(r)
		}
	case 9:
		s.now++
		if rapid.IntRange(0, 9).Draw(s.t, "restart") == 0 {
			s.buckets[i] = NewBucket()
		}
	}
	if rapid.Bool().Draw(s.t, "decide") {
		s.execute(i, s.buckets[i].Decide(s.now))
	}
	s.check()
}

func (s *simulation) write(i int, b *Bucket) {
	write, refused, ok := b.PrepareWrite()
	s.execute(i, refused)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 4).Draw(s.t, "write") {
	case 0: // the write takes effect, its reply is lost
		s.apply(write)
		b.Invalidate()
	case 1: // the write is delayed, its reply is lost
		s.delayed = append(s.delayed, write)
		b.Invalidate()
	case 2: // the write is never sent
		b.Invalidate()
		s.execute(i, b.RefuseWaiting(result.NotRun(result.PlatformAway, "")))
	default:
		version, ok := s.apply(write)
		if !ok {
			b.Invalidate()
			return
		}
		b.ConfirmWrite(write, version)
	}
}

func (s *simulation) finish(r activeBooking) {
	outcome := Outcome{Run: result.Run(rapid.IntRange(0, 2).Draw(s.t, "outcome"))}
	if outcome.Run == result.RunNo {
		s.runCount[r.request.Key]--
		delete(s.ran, r.request.Attempt)
	}
	s.buckets[r.bucket].Finish(r.request, outcome)
}

// TestAtMostOnce guards against a booking that runs twice, or that runs although its
// caller was told that it was not run. Replies are lost, writes are delayed, reads are
// stale, processes restart, and several processes use one object.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, runCount: map[string]int{}, notRun: map[string]bool{}, ran: map[string]bool{}}
		for range 3 {
			s.buckets = append(s.buckets, NewBucket())
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.step()
		}
	})
}

func newLoadedBucket(c *qt.C) *Bucket {
	b := NewBucket()
	c.Assert(b.Load(0, nil), qt.IsNil)
	return b
}

func writeAndConfirm(c *qt.C, b *Bucket, version uint64) Write {
	w, _, ok := b.PrepareWrite()
	c.Assert(ok, qt.IsTrue)
	b.ConfirmWrite(w, version)
	return w
}

// TestRepeat guards against a repeated request that is answered with anything but the
// state or outcome of the first one. It also guards against accepting a request that
// reuses the key for another content.
func TestRepeat(t *testing.T) {
	c := qt.New(t)
	b := newLoadedBucket(c)
	first := Request{Key: "k", Attempt: "1", Digest: 7, Deadline: time.Hour}
	b.Submit(first)
	c.Assert(b.Decide(0), qt.HasLen, 0)
	writeAndConfirm(c, b, 1)
	c.Assert(b.Decide(0)[0].Action, qt.Equals, ActionDispatch)

	b.Submit(Request{Key: "k", Attempt: "2", Digest: 7, Deadline: time.Hour})
	c.Assert(b.Decide(0)[0].Err.Code, qt.Equals, result.InProgress)

	b.Finish(first, Outcome{Run: result.RunYes, Body: "done"})
	b.Submit(Request{Key: "k", Attempt: "3", Digest: 7, Deadline: time.Hour})
	d := b.Decide(0)[0]
	c.Assert(d.Outcome.Body, qt.Equals, "done")
	c.Assert(d.Repeated, qt.IsTrue)

	b.Submit(Request{Key: "k", Attempt: "4", Digest: 8, Deadline: time.Hour})
	c.Assert(b.Decide(0)[0].Err.Code, qt.Equals, result.KeyReused)
}

// TestClaimOfDeadProcess guards against running a booking again after its process died
// between the write of the claim and that of the outcome.
func TestClaimOfDeadProcess(t *testing.T) {
	c := qt.New(t)
	dead := newLoadedBucket(c)
	dead.Submit(Request{Key: "k", Attempt: "1", Deadline: time.Hour})
	w := writeAndConfirm(c, dead, 1)

	b := NewBucket()
	b.Submit(Request{Key: "k", Attempt: "2", Deadline: time.Hour})
	c.Assert(b.Load(1, w.Value), qt.IsNil)
	d := b.Decide(0)[0]
	c.Assert(d.Err.Code, qt.Equals, result.OutcomeUnknown)
	c.Assert(d.Err.Run, qt.Equals, result.RunUnknown)
}

// TestRefusedBookingMayBeRepeated guards against a key that cannot be used again after
// an attempt that certainly did not run.
func TestRefusedBookingMayBeRepeated(t *testing.T) {
	c := qt.New(t)
	b := newLoadedBucket(c)
	first := Request{Key: "k", Attempt: "1", Deadline: time.Hour}
	b.Submit(first)
	writeAndConfirm(c, b, 1)
	c.Assert(b.Decide(0)[0].Action, qt.Equals, ActionDispatch)
	b.Finish(first, Outcome{Code: result.UpstreamShed, Run: result.RunNo})
	b.Submit(Request{Key: "k", Attempt: "2", Deadline: time.Hour})
	writeAndConfirm(c, b, 2)
	c.Assert(b.Decide(0)[0].Action, qt.Equals, ActionDispatch)
	c.Assert(b.HasOutcomes(), qt.IsFalse)
}

// TestIssueTime guards against accepting malformed keys, and keys outside the retention,
// whose claims may be deleted already.
func TestIssueTime(t *testing.T) {
	key := uuid.Must(uuid.NewV7())
	seconds, _ := key.Time().UnixTime()
	issued := time.Unix(seconds, 0)
	tests := map[string]struct {
		key  string
		now  time.Time
		code result.Code
	}{
		"valid":        {key.String(), issued, result.OK},
		"past":         {key.String(), issued.Add(Retention + 2*time.Second), result.KeyExpired},
		"future":       {key.String(), issued.Add(-MaxSkew - 2*time.Second), result.KeyFuture},
		"random":       {uuid.NewString(), issued, result.KeyInvalid},
		"empty":        {"", issued, result.KeyInvalid},
		"other syntax": {"{" + key.String() + "}", issued, result.KeyInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := IssueTime(test.key, test.now)
			if test.code == result.OK {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, result.From(err).Code, qt.Equals, test.code)
		})
	}
}
