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

// world is a platform object, several processes that hold a bucket of it, and
// what the upstream ran.
type world struct {
	t       *rapid.T
	version uint64
	value   []byte
	older   []Write // earlier states, for stale readings
	late    []Write // writes whose reply was lost and that may still arrive
	buckets []*Bucket
	running []run
	runs    map[string]int
	notRun  map[string]bool // attempts whose callers were told "not run"
	ran     map[string]bool // attempts that ran
	next    int
	now     time.Duration
}

type run struct {
	bucket  int
	request Request
}

func (w *world) apply(write Write) (uint64, bool) {
	if write.Version != w.version {
		return 0, false
	}
	w.older = append(w.older, Write{Version: w.version, Value: w.value})
	w.version++
	w.value = write.Value
	return w.version, true
}

func (w *world) act(bucket int, decisions []Decision) {
	for _, d := range decisions {
		switch {
		case d.Action == ActionDispatch:
			w.runs[d.Request.Key]++
			w.ran[d.Request.Attempt] = true
			w.running = append(w.running, run{bucket, d.Request})
		case d.Err != nil && d.Err.Run == result.RunNo:
			w.notRun[d.Request.Attempt] = true
		}
	}
}

func (w *world) check() {
	for key, n := range w.runs {
		if n > 1 {
			w.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for attempt := range w.notRun {
		if w.ran[attempt] {
			w.t.Fatalf("attempt %s was refused as not run and ran", attempt)
		}
	}
}

func (w *world) step() {
	i := rapid.IntRange(0, len(w.buckets)-1).Draw(w.t, "bucket")
	b := w.buckets[i]
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1:
		w.next++
		key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(w.t, "key"))
		b.Submit(Request{Key: key, Attempt: fmt.Sprint(w.next), Digest: 1,
			Deadline: w.now + time.Duration(rapid.IntRange(1, 6).Draw(w.t, "deadline"))})
	case 2, 3:
		if err := b.Load(w.version, w.value); err != nil {
			w.t.Fatalf("a current reading was refused: %v", err)
		}
	case 4:
		if len(w.older) > 0 {
			o := w.older[rapid.IntRange(0, len(w.older)-1).Draw(w.t, "older")]
			_ = b.Load(o.Version, o.Value)
		}
	case 5, 6:
		w.write(i, b)
	case 7:
		if len(w.late) > 0 {
			w.apply(w.late[0])
			w.late = w.late[1:]
		}
	case 8:
		if len(w.running) > 0 {
			r := w.running[0]
			w.running = w.running[1:]
			w.finish(r)
		}
	case 9:
		w.now++
		if rapid.IntRange(0, 9).Draw(w.t, "restart") == 0 {
			w.buckets[i] = NewBucket()
		}
	}
	if rapid.Bool().Draw(w.t, "decide") {
		w.act(i, w.buckets[i].Decide(w.now))
	}
	w.check()
}

func (w *world) write(i int, b *Bucket) {
	write, refused, ok := b.PrepareWrite()
	w.act(i, refused)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 4).Draw(w.t, "write") {
	case 0: // applied, reply lost
		w.apply(write)
		b.Invalidate()
	case 1: // delayed, reply lost
		w.late = append(w.late, write)
		b.Invalidate()
	case 2: // never sent
		b.Invalidate()
		w.act(i, b.RefuseWaiting(result.NotRun(result.PlatformAway, "")))
	default:
		version, ok := w.apply(write)
		if !ok {
			b.Invalidate()
			return
		}
		b.ConfirmWrite(write, version)
	}
}

func (w *world) finish(r run) {
	outcome := Outcome{Run: result.Run(rapid.IntRange(0, 2).Draw(w.t, "outcome"))}
	if outcome.Run == result.RunNo {
		w.runs[r.request.Key]--
		delete(w.ran, r.request.Attempt)
	}
	w.buckets[r.bucket].Finish(r.request, outcome)
}

// TestAtMostOnce guards against a booking that runs twice, or that runs after
// its caller was told that it was not run, under lost replies, late writes,
// stale readings, restarts and several processes on one object.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, runs: map[string]int{}, notRun: map[string]bool{}, ran: map[string]bool{}}
		for range 3 {
			w.buckets = append(w.buckets, NewBucket())
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
		}
	})
}

func loaded(c *qt.C) *Bucket {
	b := NewBucket()
	c.Assert(b.Load(0, nil), qt.IsNil)
	return b
}

func confirm(c *qt.C, b *Bucket, version uint64) Write {
	w, _, ok := b.PrepareWrite()
	c.Assert(ok, qt.IsTrue)
	b.ConfirmWrite(w, version)
	return w
}

// TestRepeat guards against a repeat that gets anything but the outcome of the
// first request.
func TestRepeat(t *testing.T) {
	c := qt.New(t)
	b := loaded(c)
	first := Request{Key: "k", Attempt: "1", Digest: 7, Deadline: time.Hour}
	b.Submit(first)
	c.Assert(b.Decide(0), qt.HasLen, 0)
	confirm(c, b, 1)
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

// TestClaimOfDeadProcess guards against a booking being run again after its
// process died between the claim and the outcome.
func TestClaimOfDeadProcess(t *testing.T) {
	c := qt.New(t)
	dead := loaded(c)
	dead.Submit(Request{Key: "k", Attempt: "1", Deadline: time.Hour})
	w := confirm(c, dead, 1)

	b := NewBucket()
	b.Submit(Request{Key: "k", Attempt: "2", Deadline: time.Hour})
	c.Assert(b.Load(1, w.Value), qt.IsNil)
	d := b.Decide(0)[0]
	c.Assert(d.Err.Code, qt.Equals, result.OutcomeUnknown)
	c.Assert(d.Err.Run, qt.Equals, result.RunUnknown)
}

// TestRefusedBookingMayBeRepeated guards against a key being used up by an
// attempt that certainly was not run.
func TestRefusedBookingMayBeRepeated(t *testing.T) {
	c := qt.New(t)
	b := loaded(c)
	first := Request{Key: "k", Attempt: "1", Deadline: time.Hour}
	b.Submit(first)
	confirm(c, b, 1)
	c.Assert(b.Decide(0)[0].Action, qt.Equals, ActionDispatch)
	b.Finish(first, Outcome{Code: result.UpstreamShed, Run: result.RunNo})
	b.Submit(Request{Key: "k", Attempt: "2", Deadline: time.Hour})
	confirm(c, b, 2)
	c.Assert(b.Decide(0)[0].Action, qt.Equals, ActionDispatch)
	c.Assert(b.HasOutcomes(), qt.IsFalse)
}

// TestIssued guards against keys outside their retention, whose claims may be
// gone.
func TestIssued(t *testing.T) {
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
