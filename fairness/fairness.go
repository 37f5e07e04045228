// Package fairness decides which requests go first when the searchers lack capacity, so that a client
// account that sends more than its fair share does not take what the others need. It does no I/O and
// has no clock or randomness of its own.
package fairness

import (
	"math"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
)

const (
	// halfLife is the time after which a request counts half.
	halfLife = 2 * time.Second
	// maxAccounts bounds the accounts that are tracked. The one with the least requests makes room.
	maxAccounts = 1024
	// updateInterval is the time between two computations of the shares.
	updateInterval = 100 * time.Millisecond
	// sufficientShare is the served share of the requests from which on capacity is not short.
	sufficientShare = 0.95
	// failingShare is the served share below which the searchers fail rather than lack capacity. The accounts are
	// not told apart then, since balance.Shedder admits only ranks below a tenth in the end.
	failingShare = 0.1
	// minServedShare is the least share of its requests that an account gets served, as a share of what
	// all accounts get. The requirement is a quarter.
	minServedShare = 0.3
	// maxExponent is the number of half-lives after which weights are scaled down, before they overflow.
	maxExponent = 64
)

// Tracker tracks how many requests the client accounts send at an instance, and how many are served. The zero
// value has seen none. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// A request at base counts 1, a later one more, so that what was counted need not be decayed.
	base    time.Duration
	offered map[string]float64
	total   float64
	served  float64
	updated time.Duration
	// level is the most that an account gets if it sends more, infinite if capacity is not short. Each gets
	// the share floor of its requests at least. preferred is the share of all requests that these make up.
	level     float64
	floor     float64
	preferred float64
}

// weight returns what a request at a time counts.
func (t *Tracker) weight(now time.Duration) float64 {
	exponent := float64(now-t.base) / float64(halfLife)
	if exponent > maxExponent {
		scale := math.Exp2(-exponent)
		for account := range t.offered {
			t.offered[account] *= scale
		}
		t.total *= scale
		t.served *= scale
		t.level *= scale
		t.base, exponent = now, 0
	}
	return math.Exp2(exponent)
}

// Rank counts a request of an account and returns its rank, between 0 and 1: the lowest goes first. drawn is a
// random number between 0 and 1. Requests within the fair share of their account get ranks in a lower band, the
// others in an upper one, the later the further the account is above its fair share. The bands are as wide as their
// shares of all requests, so that the share that balance.Shedder admits is nearly that of the ranks. The priority
// counts within a band. above says that the request is beyond the fair share of its account.
func (t *Tracker) Rank(now time.Duration, account string, priority int, drawn float64) (rank float64, above bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.weight(now)
	if t.offered == nil {
		t.offered = make(map[string]float64)
		t.level, t.preferred = math.Inf(1), 1
	}
	if _, ok := t.offered[account]; !ok && len(t.offered) >= maxAccounts {
		t.removeLeast()
	}
	t.offered[account] += w
	t.total += w
	if now-t.updated >= updateInterval {
		t.updated = now
		t.update()
	}
	share := t.share(t.offered[account])
	if drawn < share {
		return t.preferred * balance.Rank(drawn/share, priority), false
	}
	// The further the account is above its fair share, the nearer to the end of the band its ranks begin.
	begin := 1 - min(t.level/t.offered[account], 1)
	return t.preferred + (1-t.preferred)*(begin+(1-begin)*balance.Rank((drawn-share)/(1-share), priority)), true
}

// share returns the share of the requests of an account that is within its fair share.
func (t *Tracker) share(offered float64) float64 {
	return min(max(t.level/offered, t.floor), 1)
}

// Served counts a request that was served.
func (t *Tracker) Served(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served += t.weight(now)
}

func (t *Tracker) removeLeast() {
	least, leastOffered := "", math.Inf(1)
	for account, offered := range t.offered {
		if offered < leastOffered {
			least, leastOffered = account, offered
		}
	}
	t.total -= leastOffered
	delete(t.offered, least)
}

// update computes the level up to which the accounts are served so that what was served is shared max-min fairly.
func (t *Tracker) update() {
	servedShare := t.served / t.total
	if servedShare >= sufficientShare || servedShare < failingShare {
		t.level, t.floor, t.preferred = math.Inf(1), 0, 1
		return
	}
	t.floor = minServedShare * servedShare
	low, high := 0.0, 0.0
	for _, offered := range t.offered {
		high = max(high, offered)
	}
	for range levelSteps {
		t.level = (low + high) / 2
		if t.fair() < t.served {
			low = t.level
		} else {
			high = t.level
		}
	}
	t.preferred = min(t.fair()/t.total, 1)
}

// levelSteps is how often the interval that holds the level is halved: to less than a thousandth.
const levelSteps = 12

// fair returns how many requests are within the fair shares of their accounts.
func (t *Tracker) fair() float64 {
	sum := 0.0
	for _, offered := range t.offered {
		sum += t.share(offered) * offered
	}
	return sum
}
