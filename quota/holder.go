package quota

import (
	"math"
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/retry"
)

const (
	// TokenLifetime is how long the tokens of a grant may be used, counted from the question.
	TokenLifetime = 400 * time.Millisecond
	// MaxWait is the longest time that a request waits for a token.
	MaxWait = 30 * time.Millisecond
	// ResendAfter is how long a question goes without a reply before it is sent once more. It is
	// above the usual round trip between failure domains, 3 to 7 ms.
	ResendAfter = 9 * time.Millisecond
	// usageHalfLife is the half-life of the count of recent requests.
	usageHalfLife = 250 * time.Millisecond
	// maxAhead is the largest number of tokens that are asked for ahead.
	maxAhead = 64
	// maxKnownRefusal is how long requests are refused because of one reply, and maxNewRefusal how long
	// if the coordinator is new. Its share may rise meanwhile.
	maxKnownRefusal = 250 * time.Millisecond
	maxNewRefusal   = 50 * time.Millisecond
	// silentQuestions is the number of questions without a reply after which requests no longer wait
	// for a coordinator, until it is heard of again.
	silentQuestions = 2
)

// Decision says what becomes of a request.
type Decision int

// Decisions.
const (
	// Waiting means that the request waits for the reply to a question.
	Waiting Decision = iota
	Granted
	// FromReserve means that the request runs without a grant.
	FromReserve
	Refused
)

// Outcome is the decision about a request.
type Outcome struct {
	Decision Decision
	// Expires is when a request that may run must have been sent.
	Expires time.Duration
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
	// Reason says why it was refused, one of a small set of texts.
	Reason string
}

// Reasons for refusals.
const (
	ReasonExceeded       = "quota exceeded"
	ReasonNoCoordinator  = "quota coordinator not reachable"
	ReasonNewCoordinator = "quota coordinator is new or has few delegations"
)

// Contact is what an instance knows of the others when a request comes.
type Contact struct {
	// Reachable says that the account's bucket has a coordinator that has been heard of lately.
	Reachable bool
	// Instances and Position are the instance's part of the reserve, see retry.Share.
	Instances int
	Position  float64
	TimeOfDay time.Time
}

// Waiter is a request that waits for a token.
type Waiter struct {
	// Decided gets the outcome. It has room for one.
	Decided chan Outcome
}

// Holder holds the tokens of one instance. It is not safe for concurrent use.
type Holder struct {
	bounds   Bounds
	accounts map[string]*holding
	lastID   uint64
	// silent is, for each bucket, the number of questions in a row that got no reply.
	silent [Buckets]int
}

// holding is what an instance has of one account.
type holding struct {
	lots []lot
	// recent is the decayed number of requests, as of recentAt.
	recent   float64
	recentAt time.Duration
	// question is the ID of the question without a reply, zero if there is none. covered is the
	// number of waiters for which it asks.
	question uint64
	askedAt  time.Duration
	covered  int
	waiters  []*Waiter
	// Until refusedUntil the coordinator has no token, for the reason refusal. retryAt is when refused
	// requests may come again.
	refusedUntil time.Duration
	refusal      string
	retryAt      time.Duration
	// exceeded says that a request was refused beyond the quota, the last time at exceededAt.
	exceeded   bool
	exceededAt time.Duration
	reserve    retry.RateLimiter
}

// lot is the unused part of a grant.
type lot struct {
	tokens  int
	expires time.Duration
	limit   Limit
}

// NewHolder returns a holder without tokens. firstID is the ID of its first question, which no earlier
// process on the instance may have used.
func NewHolder(b Bounds, firstID uint64) *Holder {
	return &Holder{bounds: b, accounts: make(map[string]*holding), lastID: firstID}
}

// Arrive decides about a request. If the outcome is Waiting, the caller must call Wait.
func (h *Holder) Arrive(name string, l Limit, c Contact, now time.Duration) Outcome {
	a := h.accounts[name]
	if a == nil {
		a = &holding{recentAt: now, reserve: retry.NewRateLimiter(h.bounds.reserve(c.Instances, c.Position), now, c.TimeOfDay)}
		h.accounts[name] = a
	}
	a.recent, a.recentAt = a.recentCount(now)+1, now
	if expires, ok := a.take(l, now); ok {
		return Outcome{Decision: Granted, Expires: expires}
	}
	switch {
	case now < a.refusedUntil:
		return h.withoutGrant(a, c, now, a.refusal, a.retryAt-now)
	case !c.Reachable || h.silent[BucketOf(name)] >= silentQuestions:
		return h.withoutGrant(a, c, now, ReasonNoCoordinator, Lease)
	}
	return Outcome{Decision: Waiting}
}

// recentCount returns the decayed number of requests.
func (a *holding) recentCount(now time.Duration) float64 {
	return a.recent * math.Exp2(-float64(now-a.recentAt)/float64(usageHalfLife))
}

// take takes a token, and returns when it expires. Tokens that a configuration before the known one
// granted are not used if the limit was higher then.
func (a *holding) take(l Limit, now time.Duration) (time.Duration, bool) {
	for len(a.lots) > 0 {
		first := &a.lots[0]
		if first.tokens > 0 && now < first.expires && !(first.limit.Version < l.Version && l.lowerThan(first.limit)) {
			first.tokens--
			return first.expires, true
		}
		a.lots = append(a.lots[:0], a.lots[1:]...)
	}
	return 0, false
}

// lowerThan reports whether the limit is lower than another in any respect.
func (l Limit) lowerThan(other Limit) bool {
	return l.PerSecond < other.PerSecond || l.Burst < other.Burst
}

// withoutGrant lets a request run from the reserve, or refuses it.
func (h *Holder) withoutGrant(a *holding, c Contact, now time.Duration, reason string, retryAfter time.Duration) Outcome {
	share := h.bounds.reserve(c.Instances, c.Position)
	// The reserve is for what is not known, not for accounts that exceed their quota.
	if reason != ReasonExceeded && a.reserve.Allows(share, now) {
		a.reserve.Take()
		return Outcome{Decision: FromReserve, Expires: now + TokenLifetime}
	}
	if reason == ReasonExceeded {
		a.exceeded, a.exceededAt = true, now
	}
	return Outcome{Decision: Refused, RetryAfter: max(retryAfter, minRetryAfter), Reason: reason}
}

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 20 * time.Millisecond

// Wait adds a waiter after Arrive returned Waiting. It returns a question to send, unless a question
// is on its way.
func (h *Holder) Wait(name string, l Limit, w *Waiter, now time.Duration) (Question, bool) {
	a := h.accounts[name]
	a.waiters = append(a.waiters, w)
	return h.ask(name, a, l, now)
}

// ask returns a question for the waiters, unless one is on its way.
func (h *Holder) ask(name string, a *holding, l Limit, now time.Duration) (Question, bool) {
	if a.question != 0 && now-a.askedAt < MaxWait || len(a.waiters) == 0 {
		return Question{}, false
	}
	if a.question != 0 {
		h.silent[BucketOf(name)]++
	}
	h.lastID++
	a.question, a.askedAt, a.covered = h.lastID, now, len(a.waiters)
	// The waiters are among the recent requests.
	expected := (a.recentCount(now) - float64(len(a.waiters))) * math.Ln2 * float64(TokenLifetime) / float64(2*usageHalfLife)
	return Question{Account: name, ID: a.question, Waiting: len(a.waiters), Ahead: min(max(int(expected), 0), maxAhead), Limit: l}, true
}

// Unanswered reports whether a question has no reply yet and its sender still waits for one.
func (h *Holder) Unanswered(q Question) bool {
	a := h.accounts[q.Account]
	return a != nil && a.question == q.ID
}

// Receive applies a grant, and sends their outcomes to the waiters that are decided. It returns
// a question for those that are left, if there are any. l is the limit that the instance knows.
func (h *Holder) Receive(g Grant, l Limit, c Contact, now time.Duration) (Question, bool) {
	a := h.accounts[g.Account]
	if a == nil || a.question != g.ID || g.ID == 0 {
		return Question{}, false // too late: the tokens are lost
	}
	covered := min(a.covered, len(a.waiters))
	a.question, h.silent[BucketOf(g.Account)] = 0, 0
	if expires := a.askedAt + TokenLifetime; g.Tokens > 0 && now < expires {
		a.lots = append(a.lots, lot{tokens: g.Tokens, expires: expires, limit: g.Limit})
	}
	served := 0
	for _, w := range a.waiters {
		expires, ok := a.take(l, now)
		if !ok {
			break
		}
		w.Decided <- Outcome{Decision: Granted, Expires: expires}
		served++
	}
	a.waiters = slices.Delete(a.waiters, 0, served)
	if served >= covered || g.Next <= 0 {
		return h.ask(g.Account, a, l, now)
	}
	a.refusedUntil = now + min(g.Next, maxKnownRefusal)
	a.retryAt = now + max(g.RetryAfter, g.Next)
	a.refusal = ReasonExceeded
	if g.New {
		a.refusedUntil = now + min(g.Next, maxNewRefusal)
		a.refusal = ReasonNewCoordinator
	}
	for _, w := range a.waiters {
		w.Decided <- h.withoutGrant(a, c, now, a.refusal, a.retryAt-now)
	}
	a.waiters = a.waiters[:0]
	return Question{}, false
}

// GiveUp decides about a waiter that can wait no longer. It reports false if the waiter is decided.
func (h *Holder) GiveUp(name string, w *Waiter, c Contact, now time.Duration) (Outcome, bool) {
	a := h.accounts[name]
	if a == nil {
		return Outcome{}, false
	}
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return Outcome{}, false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	if i < a.covered {
		a.covered--
	}
	return h.withoutGrant(a, c, now, ReasonNoCoordinator, Lease), true
}

// Late decides about a request that was admitted, is about to be sent, and whose token has expired: it
// had to wait for a searcher, or the process was paused. If the account exceeded its quota in the last
// window, the request needs another token. Otherwise all that waited could be sent in one window with all
// that the quota allows in it.
func (h *Holder) Late(name string, l Limit, now time.Duration) bool {
	a := h.accounts[name]
	if a == nil || !a.exceeded || now-a.exceededAt > h.bounds.Window {
		return true
	}
	_, ok := a.take(l, now)
	return ok
}

// Heard records that a coordinator was heard of: requests wait for it again. Its buckets are those for
// which coordinates is true.
func (h *Holder) Heard(coordinates func(bucket int) bool) {
	for b := range h.silent {
		if h.silent[b] > 0 && coordinates(b) {
			h.silent[b] = 0
		}
	}
}

// Len returns the number of accounts in memory.
func (h *Holder) Len() int { return len(h.accounts) }

// Sweep drops accounts without recent requests.
func (h *Holder) Sweep(now time.Duration) {
	for name, a := range h.accounts {
		if len(a.waiters) == 0 && now-a.recentAt >= idleTimeout {
			delete(h.accounts, name)
		}
	}
}
