package claim

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// MaxBucketBytes is the object size above which no claims are added. It leaves room
	// below the platform's limit of 1 MiB for the outcomes of bookings that are still
	// running.
	MaxBucketBytes = 900 << 10
	// MaxResultBytes is the size of the largest result that is stored to answer repeated
	// requests.
	MaxResultBytes = 4 << 10
	// claimBytes is the estimated size of a claim in the object before its outcome is
	// known.
	claimBytes = 200
)

// Stage is the progress of the booking of a claim.
type Stage string

// A booking at StageClaimed may have run, and one at StageFinished has run. A booking at
// StageRefused certainly did not run, so that its key may be claimed again.
const (
	StageClaimed  Stage = "claimed"
	StageFinished Stage = "finished"
	StageRefused  Stage = "refused"
)

// Record is the claim of one key as the platform stores it.
type Record struct {
	// Attempt is the id of the only attempt that may dispatch the booking.
	Attempt string `json:"attempt"`
	Stage   Stage  `json:"stage"`
	// RequestDigest is the digest of the request's content. It detects a key that is
	// used for two different requests.
	RequestDigest uint64      `json:"request"`
	Code          result.Code `json:"code,omitempty"`
	Run           result.Run  `json:"run,omitempty"`
	Body          string      `json:"body,omitempty"`
	BodyDropped   bool        `json:"dropped,omitempty"` // Body was larger than MaxResultBytes
}

// object is the stored form of a bucket, encoded as JSON.
type object struct {
	Claims map[string]Record `json:"claims"`
}

// Outcome is how a dispatched booking ended.
type Outcome struct {
	Code result.Code
	Run  result.Run
	Body string
}

// Request is one attempt to run the booking of a key.
type Request struct {
	Key string
	// Attempt is the id of this attempt.
	Attempt string
	// Digest is the Digest of the request's content.
	Digest uint64
	// Deadline is when the caller stops waiting, as a reading of the boot clock.
	Deadline time.Duration
}

// Digest returns the digest of item, the content of a booking request.
func Digest(item string) uint64 { return xxhash.Sum64String(item) }

// Action is what has to be done with a request after a decision.
type Action uint8

// ActionWait means that a later call of Decide will decide the request.
const (
	ActionWait Action = iota
	// ActionDispatch means that the claim is confirmed for this attempt and the booking
	// must be dispatched. It is returned once per attempt.
	ActionDispatch
	// ActionAnswer means that the request must be answered with the outcome or the
	// error, and must not be dispatched.
	ActionAnswer
)

// Decision is the action for one request.
type Decision struct {
	Request Request
	Action  Action
	Outcome Outcome
	// Err is set if the answer is an error and not a stored outcome.
	Err *result.Error
	// Repeated is true if Outcome is the stored outcome of an earlier request.
	Repeated bool
}

// Bucket is the state machine by which one process handles one object of claims. It is
// not safe for concurrent use.
//
// A booking is dispatched only after the platform has confirmed an object that contains
// the claim of its attempt, and only once per attempt. Objects change only by
// conditional writes. If two processes write the same object, one of them gets a
// conflict and reads the object again.
type Bucket struct {
	loaded      bool
	version     uint64
	claims      map[string]Record
	objectBytes int
	// loadCount is the number of successful calls of Load.
	loadCount int

	waiting  []waitingRequest
	outcomes map[string]Record // outcomes not yet written, by key
	running  map[string]string // attempts dispatched and not finished, by key
	// confirmed and abandoned hold attempts of this process. confirmed holds those whose
	// claim was confirmed; each was then dispatched, or refused because its deadline had
	// passed. The caller of an abandoned attempt was told that it was not run; a delayed
	// write may still add its claim to the object.
	confirmed map[string]bool
	abandoned map[string]bool
}

// waitingRequest is a request with the readCount of the bucket when it was submitted.
type waitingRequest struct {
	Request
	loadCount int
}

// NewBucket returns a bucket that is not loaded.
func NewBucket() *Bucket {
	return &Bucket{
		outcomes:  make(map[string]Record),
		running:   make(map[string]string),
		confirmed: make(map[string]bool),
		abandoned: make(map[string]bool),
	}
}

// Loaded reports whether the bucket knows the content of the object. If not, the object
// must be read and passed to Load.
func (b *Bucket) Loaded() bool { return b.loaded }

// Idle reports whether no request waits, no booking runs and no outcome has to be
// written.
func (b *Bucket) Idle() bool {
	return len(b.waiting) == 0 && len(b.running) == 0 && len(b.outcomes) == 0
}

// Running returns the number of bookings that are dispatched and not finished.
func (b *Bucket) Running() int { return len(b.running) }

// Load sets the bucket to the version and value of the object as read. A missing object
// has version zero and no value. Load returns an error and changes nothing if the value
// is not valid JSON for claims, or if the version is older than one already known.
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
	b.loaded, b.version, b.claims, b.objectBytes = true, version, o.Claims, len(value)
	b.loadCount++
	b.dropWrittenOutcomes()
	return nil
}

// Invalidate marks the bucket as not loaded after a write that failed or whose result is
// unknown. Until the object is loaded again, Decide only refuses requests whose deadline
// has passed, and PrepareWrite prepares no write.
func (b *Bucket) Invalidate() { b.loaded = false }

// Submit adds a waiting request, which a later call of Decide decides.
func (b *Bucket) Submit(r Request) {
	b.waiting = append(b.waiting, waitingRequest{Request: r, loadCount: b.loadCount})
}

// Decide returns the decisions on the waiting requests that can be decided; the others
// keep waiting.
//
// A request whose claim is confirmed is dispatched. A request whose key has an outcome is
// answered with it. A request whose key was used for another content, or whose key has a
// booking that runs here, is answered with an error.
//
// If another attempt has claimed the key, does not run here and has no outcome, the
// object may have changed since it was loaded. Unless a Load has followed the Submit,
// Decide marks the bucket as not loaded and the request waits for the next Load. If there
// is still no outcome after the Load, the request is answered with OutcomeUnknown.
//
// A request that still waits after its deadline is refused. It was not dispatched and
// never will be, even if a delayed write of its claim takes effect.
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

func (b *Bucket) decide(w waitingRequest, now time.Duration) Decision {
	d := Decision{Request: w.Request}
	if !b.loaded {
		return b.refuseIfExpired(d, now)
	}
	record, known := b.currentRecord(w.Key)
	switch {
	case !known || b.claimable(record):
		return b.refuseIfExpired(d, now)
	case record.RequestDigest != w.Digest:
		return d.answerError(result.NotRun(result.KeyReused, "key %s", w.Key))
	case record.Stage == StageFinished:
		return d.answerFromRecord(record)
	case record.Attempt == w.Attempt:
		return b.decideConfirmed(d, now)
	case b.running[w.Key] != "":
		return d.answerError(result.MayHaveRun(result.InProgress, "key %s", w.Key))
	case w.loadCount == b.loadCount:
		b.loaded = false
		return b.refuseIfExpired(d, now)
	default:
		return d.answerError(result.MayHaveRun(result.OutcomeUnknown, "key %s was claimed by another attempt", w.Key))
	}
}

// currentRecord returns the record of a key, and whether there is one. An outcome that is
// not yet written replaces the claim of its attempt.
func (b *Bucket) currentRecord(key string) (Record, bool) {
	written, known := b.claims[key]
	if pending, ok := b.outcomes[key]; ok && (!known || pending.Attempt == written.Attempt) {
		return pending, true
	}
	return written, known
}

// claimable reports whether the key of a record may be claimed again, because the
// attempt of the record certainly did not run and never will.
func (b *Bucket) claimable(r Record) bool {
	return r.Stage == StageRefused || r.Stage == StageClaimed && b.abandoned[r.Attempt]
}

func (d Decision) answerError(err *result.Error) Decision {
	d.Action, d.Err = ActionAnswer, err
	return d
}

func (d Decision) answerFromRecord(r Record) Decision {
	if r.BodyDropped {
		return d.answerError(&result.Error{Code: result.TooLarge, Run: result.RunYes,
			Detail: "the booking ran, its result was too large to be kept"})
	}
	d.Action, d.Repeated = ActionAnswer, true
	d.Outcome = Outcome{Code: r.Code, Run: r.Run, Body: r.Body}
	return d
}

// refuseIfExpired refuses a request whose deadline has passed and abandons its attempt.
// Otherwise the request waits on.
func (b *Bucket) refuseIfExpired(d Decision, now time.Duration) Decision {
	if now < d.Request.Deadline {
		return d
	}
	b.abandoned[d.Request.Attempt] = true
	return d.answerError(result.NotRun(result.DeadlineExceeded, "the claim was not confirmed in time"))
}

// decideConfirmed decides a request whose claim the platform has confirmed for its
// attempt. The booking is dispatched, unless the deadline has passed or the attempt was
// decided here before.
func (b *Bucket) decideConfirmed(d Decision, now time.Duration) Decision {
	r := d.Request
	if b.confirmed[r.Attempt] {
		return d.answerError(result.MayHaveRun(result.InProgress, "key %s", r.Key))
	}
	b.confirmed[r.Attempt] = true
	if now >= r.Deadline {
		b.outcomes[r.Key] = Record{Attempt: r.Attempt, Stage: StageRefused, RequestDigest: r.Digest}
		return d.answerError(result.NotRun(result.DeadlineExceeded, "the claim was confirmed too late"))
	}
	b.running[r.Key] = r.Attempt
	d.Action = ActionDispatch
	return d
}

// RefuseWaiting refuses all waiting requests with err. It is called when the platform is
// not reachable: a booking whose claim was not confirmed is never dispatched.
func (b *Bucket) RefuseWaiting(err *result.Error) []Decision {
	decisions := make([]Decision, 0, len(b.waiting))
	for _, w := range b.waiting {
		b.abandoned[w.Attempt] = true
		decisions = append(decisions, Decision{Request: w.Request}.answerError(err))
	}
	b.waiting = nil
	return decisions
}

// Finish records how a dispatched booking ended. If that is unknown, the claim stays, so
// that the key never runs again.
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

// HasWaiting reports whether requests are waiting. If the bucket is still loaded after
// Decide, each of them needs a write of its claim.
func (b *Bucket) HasWaiting() bool { return len(b.waiting) > 0 }

// HasOutcomes reports whether outcomes have to be written.
func (b *Bucket) HasOutcomes() bool { return len(b.outcomes) > 0 }
