package quota

import (
	"math"
	"time"
)

const (
	// refreshInterval is how often leases that end are taken into account, at most. It is below
	// leaseMargin.
	refreshInterval = 20 * time.Millisecond
	// minorityTimeout is how long a coordinator grants with delegations of less than half of the
	// instances. Later the others may have removed the entries of the instances on this side of a
	// network partition (after 60 s) and no longer count them as sharing the quotas (after 72 s).
	minorityTimeout = 65 * time.Second
	// maxRetryAfter bounds the Retry-After of refused requests.
	maxRetryAfter = 5 * time.Second
	// idleTimeout is how long an account that nobody asks for is kept.
	idleTimeout = 30 * time.Second
	// unleasedRetryAfter is the Retry-After of a coordinator without delegations.
	unleasedRetryAfter = Lease
)

// Coordinator grants tokens of the buckets that instances delegate to it. The token bucket of an
// account fills at the share of the rate, and holds at most the share of the depth, that is delegated.
// The shares of all coordinators add up to at most one. What all of them grant in a time is therefore
// at most what one token bucket with the whole rate and depth grants, and the credits.
type Coordinator struct {
	bounds     Bounds
	delegators map[string]*delegated
	buckets    [Buckets]bucket
	refreshed  time.Duration
	began      bool
	accounts   map[string]*account
}

// delegated is what one instance delegates.
type delegated struct {
	mask uint16
	part float64
	// credit has the buckets whose lent credit is counted.
	credit uint16
	// until is the end of the delegation. Up to countedTo it is included in bucket.filled.
	until     time.Duration
	countedTo time.Duration
}

// bucket is the state of all accounts of a bucket.
type bucket struct {
	// share is what is delegated now. filled is its integral over time, in seconds: an account earns
	// its rate times the increase of filled. filledBefore is filled at the last refresh.
	share        float64
	filled       float64
	filledBefore float64
	// ceilings bound the levels of all accounts, with rising shares.
	ceilings []ceiling
	// established says that most of the bucket was delegated since it last was not at all, and
	// establishedAt when this last happened. credit is the part of the credit that was lent since.
	established   bool
	establishedAt time.Duration
	credit        float64
	// preferred says that the instance itself prefers this coordinator, since preferredAt.
	preferred   bool
	preferredAt time.Duration
	// majority is when at least half of the bucket was last delegated, or when delegations began.
	majority time.Duration
}

// ceiling says that at a moment no account had more than a share of its depth. An account that is not
// in memory has what these bounds allow, as nothing was granted to it since.
type ceiling struct {
	share  float64
	filled float64
	// credited adds the credit of a new coordinator.
	credited bool
}

// account is the token bucket of an account.
type account struct {
	limit  Limit
	level  float64
	filled float64
	used   time.Duration
	// refused is the number of requests that were refused and for which no token has been earned
	// since, as of used.
	refused float64
}

// NewCoordinator returns a coordinator to which nothing is delegated.
func NewCoordinator(b Bounds) *Coordinator {
	c := &Coordinator{bounds: b, delegators: make(map[string]*delegated), accounts: make(map[string]*account)}
	for i := range c.buckets {
		c.buckets[i].ceilings = []ceiling{{}}
	}
	return c
}

// Delegate records the reply of an instance to a question that was sent at askedAt. mask and credit have one
// bit for each bucket that is delegated, or whose credit is lent. The quotas are divided by instances, which
// is the greater of the numbers that the two instances know.
func (c *Coordinator) Delegate(from string, mask, credit uint16, instances int, askedAt, now time.Duration) {
	until := askedAt + Lease - leaseMargin
	if until <= now || askedAt > now {
		return
	}
	c.refresh(now)
	d := c.delegators[from]
	if d == nil {
		if mask == 0 {
			return
		}
		d = &delegated{countedTo: now}
		c.delegators[from] = d
	}
	if until < d.until {
		return // an older reply
	}
	c.count(d, now)
	old, oldPart := d.mask, d.part
	if d.until <= now {
		old = 0 // the share may still contain it until the next refresh, which corrects that
		c.recompute(now, from)
	}
	d.mask, d.part, d.until, d.countedTo = mask, 1/float64(max(instances, 1)), until, now
	for b := range c.buckets {
		change := 0.0
		if old&(1<<b) != 0 {
			change -= oldPart
		}
		if mask&(1<<b) != 0 {
			change += d.part
		}
		if change != 0 {
			c.setShare(b, c.buckets[b].share+change, now)
		}
		if credit&^d.credit&(1<<b) != 0 {
			c.buckets[b].credit += d.part
		}
	}
	d.credit |= credit
}

// count adds to the buckets what an instance has delegated since it was last counted.
func (c *Coordinator) count(d *delegated, now time.Duration) {
	if span := min(now, d.until) - d.countedTo; span > 0 {
		for b := range c.buckets {
			if d.mask&(1<<b) != 0 {
				c.buckets[b].filled += d.part * span.Seconds()
			}
		}
		d.countedTo += span
	}
}

// refresh brings the buckets up to date, unless that was done just before.
func (c *Coordinator) refresh(now time.Duration) {
	if c.began && now-c.refreshed < refreshInterval {
		return
	}
	elapsed := (now - c.refreshed).Seconds()
	for _, d := range c.delegators {
		c.count(d, now)
	}
	for b := range c.buckets {
		k := &c.buckets[b]
		if c.began { // instances that differ in their number may delegate more than the whole
			k.filled = min(k.filled, k.filledBefore+elapsed)
		}
		k.filledBefore = k.filled
	}
	c.began, c.refreshed = true, now
	c.recompute(now, "")
}

// recompute sets the shares from the valid delegations, without that of one instance.
func (c *Coordinator) recompute(now time.Duration, without string) {
	var shares [Buckets]float64
	for name, d := range c.delegators {
		if name == without {
			continue
		}
		if d.until <= now {
			delete(c.delegators, name)
			continue
		}
		for b := range shares {
			if d.mask&(1<<b) != 0 {
				shares[b] += d.part
			}
		}
	}
	for b, s := range shares {
		c.setShare(b, s, now)
	}
}

const (
	// establishedShare is the share from which on a coordinator may use the credit, lostShare the one
	// below which it counts as new again. majorityShare is the share that minorityTimeout refers to.
	// Smaller differences than roundingError are no change of a share.
	establishedShare = 0.5
	majorityShare    = 0.5
	lostShare        = 0.01
	roundingError    = 1e-9
	// maxCeilings is the number of ceilings that a bucket keeps.
	maxCeilings = 32
)

// setShare sets the share of a bucket that is delegated.
func (c *Coordinator) setShare(b int, share float64, now time.Duration) {
	k := &c.buckets[b]
	share = min(max(share, 0), 1)
	before := k.share
	k.share = share
	if share < before-roundingError {
		k.lower(share)
	}
	if share >= majorityShare || before < lostShare {
		k.majority = now
	}
	switch {
	case share < lostShare:
		k.established, k.credit = false, 0
	case share >= establishedShare && !k.established:
		k.established, k.establishedAt = true, now
		c.restart(b)
	}
}

// lower adds a ceiling. Ceilings that bound nothing beside it are removed.
func (k *bucket) lower(share float64) {
	for len(k.ceilings) > 0 {
		last := k.ceilings[len(k.ceilings)-1]
		if last.share < share {
			break
		}
		k.ceilings = k.ceilings[:len(k.ceilings)-1]
	}
	k.ceilings = append(k.ceilings, ceiling{share: share, filled: k.filled})
	if len(k.ceilings) > maxCeilings {
		// The lower share at the later time bounds more than both.
		k.ceilings[1].share = k.ceilings[0].share
		k.ceilings = append(k.ceilings[:0], k.ceilings[1:]...)
	}
}

// restart gives all accounts of a bucket the credit of a new coordinator.
func (c *Coordinator) restart(b int) {
	k := &c.buckets[b]
	k.ceilings = append(k.ceilings[:0], ceiling{filled: k.filled, credited: true})
	for name := range c.accounts {
		if BucketOf(name) == b {
			delete(c.accounts, name)
		}
	}
}

// bound returns the most tokens that an account can have by the ceilings.
func (c *Coordinator) bound(k *bucket, l Limit) float64 {
	depth := c.bounds.depth(l)
	level := k.share * depth
	for _, x := range k.ceilings {
		most := x.share*depth + l.PerSecond*(k.filled-x.filled)
		if x.credited {
			most += min(k.credit, 1) * c.bounds.credit(l)
		}
		level = min(level, most)
	}
	return level
}

// Answer replies to a question. own is the limit that the coordinator knows, zero if it knows none.
// The limit of the newer configuration counts.
func (c *Coordinator) Answer(q Question, own Limit, now time.Duration) Grant {
	c.refresh(now)
	limit := q.Limit
	if own.PerSecond > 0 && own.Version >= limit.Version {
		limit = own
	}
	k := &c.buckets[BucketOf(q.Account)]
	a := c.accounts[q.Account]
	if a == nil {
		a = &account{limit: limit, level: math.Inf(1), filled: k.filled, used: now}
		c.accounts[q.Account] = a
	}
	if limit.Version >= a.limit.Version {
		a.limit = limit
	}
	limit = a.limit
	rate := limit.PerSecond * k.share
	a.level = min(a.level+limit.PerSecond*(k.filled-a.filled), c.bound(k, limit))
	a.filled = k.filled
	a.refused = max(a.refused-rate*(now-a.used).Seconds(), 0)
	a.used = now
	g := Grant{Account: q.Account, ID: q.ID, Limit: limit, New: !k.established || now-k.establishedAt < c.bounds.Window}
	if rate <= 0 || k.share < establishedShare && now-k.majority > minorityTimeout {
		g.Next, g.RetryAfter = unleasedRetryAfter, unleasedRetryAfter
		return g
	}
	g.Tokens = max(min(q.Waiting, int(a.level)), 0)
	if missing := q.Waiting - g.Tokens; missing > 0 {
		next := (1 - (a.level - float64(g.Tokens))) / rate
		g.Next = secondsToDuration(next, maxRetryAfter)
		g.RetryAfter = secondsToDuration(next+a.refused/rate, maxRetryAfter)
		a.refused += float64(missing)
	} else {
		// What expires unused is lost, so little is granted ahead while there is little.
		g.Tokens += max(min(q.Ahead, int((a.level-float64(g.Tokens))/aheadReserve)), 0)
	}
	a.level -= float64(g.Tokens)
	return g
}

// aheadReserve is how many tokens there must be for each that is granted ahead.
const aheadReserve = 4

// Share returns the share of a bucket that is delegated.
func (c *Coordinator) Share(b int, now time.Duration) float64 {
	c.refresh(now)
	return c.buckets[b].share
}

// Holds reports whether an instance delegates anything.
func (c *Coordinator) Holds(from string, now time.Duration) bool {
	d := c.delegators[from]
	return d != nil && d.mask != 0 && d.until > now
}

// While a coordinator takes over, it asks for delegations every takeoverInterval, so that little time
// passes between the end of the leases of the one before it and its own. This lasts until it has
// takeoverShare of the bucket, and no longer than takeoverTime.
const (
	takeoverInterval = 100 * time.Millisecond
	takeoverTime     = 3 * time.Second
	takeoverShare    = 0.9
)

// NextAsk returns the time until the coordinator has to ask for delegations again. d is the Delegator of
// the same instance, whose name is self.
func (c *Coordinator) NextAsk(d *Delegator, self string, now time.Duration) time.Duration {
	c.refresh(now)
	interval := AskInterval
	for b := range c.buckets {
		k := &c.buckets[b]
		preferred := d.preferred(b, now) == self
		if preferred && !k.preferred {
			k.preferredAt = now
		}
		k.preferred = preferred
		if preferred && k.share < takeoverShare && now-k.preferredAt <= takeoverTime {
			interval = takeoverInterval
		}
	}
	return interval
}

// Len returns the number of accounts in memory.
func (c *Coordinator) Len() int { return len(c.accounts) }

// Sweep drops the accounts that have not been asked for lately and whose token buckets are as full as
// those of accounts that are not in memory.
func (c *Coordinator) Sweep(now time.Duration) {
	c.refresh(now)
	for name, a := range c.accounts {
		k := &c.buckets[BucketOf(name)]
		if now-a.used >= idleTimeout && a.level+a.limit.PerSecond*(k.filled-a.filled) >= c.bound(k, a.limit) {
			delete(c.accounts, name)
		}
	}
}
