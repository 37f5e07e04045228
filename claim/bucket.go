package claim

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// MaxBucketBytes is how large a bucket's object may grow. It leaves room
	// below the platform's limit of 1 MiB for the outcomes of claims that are
	// still running.
	MaxBucketBytes = 900 << 10
	// MaxResultBytes is the largest result that is kept for repeats.
	MaxResultBytes = 4 << 10
	// claimBytes is what a claim adds to the object before its outcome is known.
	claimBytes = 200
)

// Stage is how far the booking of a claim has come.
type Stage string

// A claimed booking may have run. A refused one certainly did not, so that its
// key may be claimed again.
const (
	StageClaimed  Stage = "claimed"
	StageFinished Stage = "finished"
	StageRefused  Stage = "refused"
)

// Record is the claim of one key as the platform keeps it.
type Record struct {
	// Attempt names the one attempt that may dispatch the booking.
	Attempt string `json:"attempt"`
	Stage   Stage  `json:"stage"`
	// RequestDigest is a digest of what was asked, so that a key that is used for two
	// different requests is noticed.
	RequestDigest uint64      `json:"request"`
	Code    result.Code `json:"code,omitempty"`
	Run     result.Run  `json:"run,omitempty"`
	Body    string      `json:"body,omitempty"`
	BodyDropped bool        `json:"dropped,omitempty"` // the result was larger than MaxResultBytes
}

// object is the JSON form of a bucket.
type object struct {
	Claims map[string]Record `json:"claims"`
}

// Outcome is how a dispatched booking ended.
type Outcome struct {
	Code result.Code
	Run  result.Run
	Body string
}

// Request is one request for a booking.
type Request struct {
	Key     string
	Attempt string
	Digest  uint64
	// Deadline is when, by the boot clock, the caller stops waiting.
	Deadline time.Duration
}

// Digest returns the digest of the content of a booking request.
func Digest(item string) uint64 { return xxhash.Sum64String(item) }

// Action says what is to be done with a request.
type Action uint8

// A request with ActionWait gets its verdict from a later Decide.
const (
	ActionWait Action = iota
	// ActionDispatch: the claim is confirmed for this attempt. It is given once.
	ActionDispatch
	// ActionAnswer: the outcome or error stands; nothing is dispatched.
	ActionAnswer
)

// Decision is the verdict on one request.
type Decision struct {
	Request Request
	Action Action
	Outcome Outcome
	// Err is set for an answer that is not an outcome kept in the claim.
	Err *result.Error
	// Repeated says that the outcome is that of an earlier request.
	Repeated bool
}

// Bucket is the state machine of one object of claims in one process.
//
// A booking is dispatched only after an object that names its attempt was
// confirmed by the platform, and only once per attempt. Objects change only by
// conditional writes, so that of two processes that hold the same bucket one
// sees a conflict and reads again.
type Bucket struct {
	loaded  bool
	version uint64
	claims  map[string]Record
	bytes   int
	// readings counts the readings of the object.
	readings int

	waiting  []waiter
	outcomes map[string]Record // by key, not yet written
	running  map[string]string // key to attempt, dispatched and not finished
	// dispatched and abandoned hold attempts of this process: those that were
	// dispatched, and those whose callers were told that they were not run. A
	// late write may still bring in the claim of an abandoned attempt.
	dispatched map[string]bool
	abandoned  map[string]bool
}

// waiter is a request with the number of readings there were when it came.
type waiter struct {
	Request
	readings int
}

// NewBucket returns a bucket that has to be loaded.
func NewBucket() *Bucket {
	return &Bucket{
		outcomes:   make(map[string]Record),
		running:    make(map[string]string),
		dispatched: make(map[string]bool),
		abandoned:  make(map[string]bool),
	}
}

// Loaded reports whether the bucket holds a reading of the object.
func (b *Bucket) Loaded() bool { return b.loaded }

// Idle reports whether nothing waits, runs or is to be written.
func (b *Bucket) Idle() bool {
	return len(b.waiting) == 0 && len(b.running) == 0 && len(b.outcomes) == 0
}

// Running returns the number of bookings dispatched and not finished.
func (b *Bucket) Running() int { return len(b.running) }

// Load takes a reading of the object. A missing object has version zero and no
// value. A value that does not parse, or a reading older than an earlier one,
// is an error and changes nothing.
func (b *Bucket) Load(version uint64, value []byte) error {
	if version < b.version {
		return errors.Errorf("reading has version %d, version %d is known", version, b.version)
	}
	o := object{Claims: make(map[string]Record)}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &o); err != nil {
			return errors.Annotate(err, "claims")
		}
	}
	if o.Claims == nil {
		o.Claims = make(map[string]Record)
	}
	b.loaded, b.version, b.claims, b.bytes = true, version, o.Claims, len(value)
	b.readings++
	b.settle()
	return nil
}

// Invalidate drops the reading after a write that failed or whose outcome is
// unknown, so that the object is read before anything else is decided.
func (b *Bucket) Invalidate() { b.loaded = false }

// Submit adds a request. Decide gives its verdict.
func (b *Bucket) Submit(r Request) {
	b.waiting = append(b.waiting, waiter{Request: r, readings: b.readings})
}

// Decide gives a verdict on every waiting request that has one. Requests whose
// deadline has passed are refused; they were not dispatched and never will be,
// also if a write that carries their claim should still take effect. A request
// whose key another attempt holds waits for a reading made after it came: the
// bucket is then no longer Loaded.
func (b *Bucket) Decide(now time.Duration) []Decision {
	var decisions []Decision
	waiting := b.waiting
	b.waiting = nil
	for _, w := range waiting {
		d := b.decide(w, now)
		if d.Action == ActionWait {
			b.waiting = append(b.waiting, w)
			continue
		}
		decisions = append(decisions, d)
	}
	return decisions
}

func (b *Bucket) decide(w waiter, now time.Duration) Decision {
	d := Decision{Request: w.Request}
	if !b.loaded {
		return b.expire(d, now)
	}
	record, known := b.record(w.Key)
	switch {
	case !known || b.free(record):
		return b.expire(d, now)
	case record.RequestDigest != w.Digest:
		return d.answer(result.NotRun(result.KeyReused, "key %s", w.Key))
	case record.Stage == StageFinished:
		return d.stored(record)
	case record.Attempt == w.Attempt:
		return b.dispatch(d, now)
	case b.running[w.Key] != "":
		return d.answer(result.MayHaveRun(result.InProgress, "key %s", w.Key))
	case w.readings == b.readings:
		b.loaded = false
		return b.expire(d, now)
	default:
		return d.answer(result.MayHaveRun(result.OutcomeUnknown, "key %s was claimed by another attempt", w.Key))
	}
}

// record returns what is known of a key, with an outcome that is still to be
// written.
func (b *Bucket) record(key string) (Record, bool) {
	held, known := b.claims[key]
	if pending, ok := b.outcomes[key]; ok && (!known || pending.Attempt == held.Attempt) {
		return pending, true
	}
	return held, known
}

// free reports whether the key of a record may be claimed again, because its
// attempt certainly did not run and never will.
func (b *Bucket) free(r Record) bool {
	return r.Stage == StageRefused || r.Stage == StageClaimed && b.abandoned[r.Attempt]
}

func (d Decision) answer(err *result.Error) Decision {
	d.Action, d.Err = ActionAnswer, err
	return d
}

func (d Decision) stored(r Record) Decision {
	if r.BodyDropped {
		return d.answer(&result.Error{Code: result.TooLarge, Run: result.RunYes,
			Detail: "the booking ran, its result was too large to be kept"})
	}
	d.Action, d.Repeated = ActionAnswer, true
	d.Outcome = Outcome{Code: r.Code, Run: r.Run, Body: r.Body}
	return d
}

func (b *Bucket) expire(d Decision, now time.Duration) Decision {
	if now < d.Request.Deadline {
		return d
	}
	b.abandoned[d.Request.Attempt] = true
	return d.answer(result.NotRun(result.DeadlineExceeded, "the claim was not confirmed in time"))
}

// dispatch gives the verdict on a claim that the platform has confirmed for
// this attempt.
func (b *Bucket) dispatch(d Decision, now time.Duration) Decision {
	r := d.Request
	if b.dispatched[r.Attempt] {
		return d.answer(result.MayHaveRun(result.InProgress, "key %s", r.Key))
	}
	b.dispatched[r.Attempt] = true
	if now >= r.Deadline {
		b.outcomes[r.Key] = Record{Attempt: r.Attempt, Stage: StageRefused, RequestDigest: r.Digest}
		return d.answer(result.NotRun(result.DeadlineExceeded, "the claim was confirmed too late"))
	}
	b.running[r.Key] = r.Attempt
	d.Action = ActionDispatch
	return d
}

// RefuseWaiting refuses all requests that wait for a claim. It is for a platform that
// was not reached: a claim that was never confirmed is never dispatched.
func (b *Bucket) RefuseWaiting(err *result.Error) []Decision {
	decisions := make([]Decision, 0, len(b.waiting))
	for _, w := range b.waiting {
		b.abandoned[w.Attempt] = true
		decisions = append(decisions, Decision{Request: w.Request}.answer(err))
	}
	b.waiting = nil
	return decisions
}

// Finish records how a dispatched booking ended. A booking with an unknown
// outcome keeps its claim, so that its key never runs again.
func (b *Bucket) Finish(r Request, o Outcome) {
	delete(b.running, r.Key)
	record := Record{Attempt: r.Attempt, RequestDigest: r.Digest, Code: o.Code, Run: o.Run, Body: o.Body}
	switch {
	case o.Run == result.RunNo:
		record.Stage, record.Code, record.Run = StageRefused, result.OK, result.RunUnknown
	case o.Run == result.RunYes:
		record.Stage = StageFinished
	default:
		return
	}
	if len(record.Body) > MaxResultBytes {
		record.Body, record.BodyDropped = "", true
	}
	b.outcomes[r.Key] = record
}

// HasWaiting reports whether a waiting request needs a write.
func (b *Bucket) HasWaiting() bool { return len(b.waiting) > 0 }

// HasOutcomes reports whether outcomes are to be written.
func (b *Bucket) HasOutcomes() bool { return len(b.outcomes) > 0 }

// Write is one conditional write of the object. Version zero creates it.
type Write struct {
	Version uint64
	Value   []byte
	claims  map[string]Record
}

// PrepareWrite returns the write that adds all waiting claims and outcomes, as far
// as the object's size allows. It reports false if the bucket is not loaded or
// there is nothing to write. Claims that do not fit are refused.
func (b *Bucket) PrepareWrite() (Write, []Decision, bool) {
	if !b.loaded || len(b.waiting) == 0 && len(b.outcomes) == 0 {
		return Write{}, nil, false
	}
	claims := make(map[string]Record, len(b.claims)+len(b.waiting))
	for key, r := range b.claims {
		claims[key] = r
	}
	for key := range b.outcomes {
		claims[key], _ = b.record(key)
	}
	refused := b.addClaims(claims)
	value, err := json.Marshal(object{Claims: claims})
	if err != nil {
		panic("claim: records cannot be encoded: " + err.Error())
	}
	return Write{Version: b.version, Value: value, claims: claims}, refused, true
}

func (b *Bucket) addClaims(claims map[string]Record) []Decision {
	var refused []Decision
	waiting := b.waiting
	b.waiting = nil
	bytes := b.bytes
	for _, w := range waiting {
		if bytes+claimBytes > MaxBucketBytes {
			b.abandoned[w.Attempt] = true
			refused = append(refused, Decision{Request: w.Request}.answer(
				result.NotRun(result.Overloaded, "too many bookings in %s", BucketSpan)))
			continue
		}
		b.waiting = append(b.waiting, w)
		if held, ok := claims[w.Key]; ok && !b.free(held) {
			continue
		}
		claims[w.Key] = Record{Attempt: w.Attempt, Stage: StageClaimed, RequestDigest: w.Digest}
		bytes += claimBytes
	}
	return refused
}

// ConfirmWrite takes the object as written, at the version that the platform
// returned.
func (b *Bucket) ConfirmWrite(w Write, version uint64) {
	b.loaded, b.version, b.claims, b.bytes = true, version, w.claims, len(w.Value)
	b.settle()
}

// settle drops outcomes that the object holds, and refusals whose key was
// claimed by a later attempt.
func (b *Bucket) settle() {
	for key, o := range b.outcomes {
		held, ok := b.claims[key]
		if ok && (held == o || o.Stage == StageRefused && held.Attempt != o.Attempt) {
			delete(b.outcomes, key)
		}
	}
}
