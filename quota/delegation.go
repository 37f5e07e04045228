package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lease is how long an instance leaves its part of a bucket to a coordinator. An instance that
	// starts waits as long before it delegates, because the process before it may have delegated just
	// before it ended, unless all candidates say that they have no delegation of it.
	Lease = 1200 * time.Millisecond
	// AskInterval is the time between two questions of a coordinator for delegations. Two of three
	// questions may be lost before a lease ends.
	AskInterval = 400 * time.Millisecond
	// leaseMargin is how much earlier a lease ends at the coordinator than at the instance that
	// delegates. It is above refreshInterval, for which a coordinator may overlook the end of a lease.
	leaseMargin = 50 * time.Millisecond
	// coordinatorTimeout is how long a candidate may ask for nothing before it is passed over.
	coordinatorTimeout = 900 * time.Millisecond
)

// Member is an instance that shares the quotas.
type Member struct {
	Name          string
	FailureDomain string
	// Cores is the processor time that the instance can use.
	Cores float64
}

const (
	// Each failure domain has up to domainCandidates candidates, or one if there are many domains.
	// Each instance answers all of them.
	domainCandidates = 2
	maxCandidates    = 8
)

// Candidates returns the sorted names of the members that may be coordinators: in each failure domain
// those with the most processor time.
func Candidates(members []Member) []string {
	byDomain := make(map[string][]Member)
	for _, m := range members {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	perDomain := domainCandidates
	if len(domains)*domainCandidates > maxCandidates {
		perDomain = 1
	}
	var names []string
	for _, d := range domains[:min(len(domains), maxCandidates)] {
		inDomain := byDomain[d]
		slices.SortFunc(inDomain, func(a, b Member) int {
			switch {
			case a.Cores > b.Cores:
				return -1
			case a.Cores < b.Cores:
				return 1
			}
			return strings.Compare(a.Name, b.Name)
		})
		for _, m := range inDomain[:min(len(inDomain), perDomain)] {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Delegator decides to whom an instance delegates its part of each bucket. It leaves a part to one
// coordinator at a time: another one gets it only after the lease has ended.
type Delegator struct {
	candidates []string
	// ranking holds the candidates of each bucket, the preferred one first.
	ranking [Buckets][]string
	heard   map[string]heardCandidate
	leases  [Buckets]lease
	// window is the time in which a part of the credit is lent once.
	window time.Duration
	// started is when this process started. answered holds the candidates that have said since whether
	// they have a delegation of an earlier process, and claimed says that one of them has.
	started  time.Duration
	answered map[string]bool
	claimed  bool
}

// heardCandidate says when a candidate last asked for delegations, or said that it leaves.
type heardCandidate struct {
	at     time.Duration
	leaves bool
}

// lease is the delegation of a part of a bucket to a coordinator, by its name and start, until a time.
type lease struct {
	to    string
	start int64
	until time.Duration
	// lentAt is when the credit was last lent, to the process lentStart of the instance lentTo. lentTo is
	// empty if it never was.
	lentTo    string
	lentStart int64
	lentAt    time.Duration
}

// lendTime is how long the reply to the same coordinator states that the credit is lent, in case a reply
// is lost. It is shorter than the coordinator's lease, so that the coordinator knows what it has counted.
const lendTime = 2 * AskInterval

// NewDelegator returns a Delegator without candidates. The window is that of the bounds.
func NewDelegator(window, started time.Duration) *Delegator {
	return &Delegator{window: window, started: started, answered: make(map[string]bool), heard: make(map[string]heardCandidate)}
}

// SetCandidates sets the candidates as returned by Candidates.
func (d *Delegator) SetCandidates(names []string) {
	if slices.Equal(names, d.candidates) {
		return
	}
	d.candidates = names
	for b := range d.ranking {
		d.ranking[b] = rank(b, names)
	}
	for name := range d.heard {
		if !slices.Contains(names, name) {
			delete(d.heard, name)
		}
	}
}

// rank returns the candidates in the rendezvous order of a bucket.
func rank(bucket int, names []string) []string {
	ranked := slices.Clone(names)
	weight := func(name string) uint64 { return xxhash.Sum64String(string(rune('a'+bucket)) + "/" + name) }
	slices.SortFunc(ranked, func(a, b string) int {
		switch x, y := weight(a), weight(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked
}

// Coordinator returns the instance to ask for tokens of a bucket: the one to which this instance delegates
// its part, else the preferred one. It is empty if there is none.
func (d *Delegator) Coordinator(bucket int, now time.Duration) string {
	if l := d.leases[bucket]; now < l.until && d.isAlive(l.to, now) {
		return l.to // after a change the others still delegate to it, too
	}
	return d.preferred(bucket, now)
}

// preferred returns the first candidate of a bucket that has asked for delegations lately and goes on
// coordinating, empty if there is none.
func (d *Delegator) preferred(bucket int, now time.Duration) string {
	for _, name := range d.ranking[bucket] {
		if d.isAlive(name, now) && !d.heard[name].leaves {
			return name
		}
	}
	return ""
}

// isAlive reports whether a candidate has asked for delegations lately.
func (d *Delegator) isAlive(name string, now time.Duration) bool {
	c, ok := d.heard[name]
	return ok && now-c.at <= coordinatorTimeout
}

// Asked records that the candidate with a name and a start asks for delegations. It returns the buckets
// that are delegated to the candidate, one bit each, and those of them whose credit is lent to it. claims
// says that the candidate has delegations of this instance. If may is false, nothing is delegated.
func (d *Delegator) Asked(by string, start int64, claims, may bool, now time.Duration) (mask, credit uint16) {
	if !slices.Contains(d.candidates, by) {
		return 0, 0
	}
	d.heard[by] = heardCandidate{at: now}
	if !may || !d.maySinceStart(by, claims, now) {
		return 0, 0
	}
	for b := range d.leases {
		l := &d.leases[b]
		if d.preferred(b, now) == by && (l.to == by || now >= l.until) {
			if (l.to != by || l.start != start) && (l.lentTo == "" || now-l.lentAt >= d.window+lendTime) {
				l.lentTo, l.lentStart, l.lentAt = by, start, now
			}
			l.to, l.start, l.until = by, start, now+Lease
			mask |= 1 << b
			if l.lentTo == by && l.lentStart == start && now-l.lentAt < lendTime {
				credit |= 1 << b
			}
		}
	}
	return mask, credit
}

// firstDelegation is how long after its start an instance delegates at the earliest. By then each
// coordinator has asked, also one that is no candidate any more as it stops.
const firstDelegation = AskInterval + leaseMargin

// maySinceStart reports whether no delegation of an earlier process can be valid. It notes what
// a candidate says of that.
func (d *Delegator) maySinceStart(by string, claims bool, now time.Duration) bool {
	if now-d.started >= Lease {
		return true
	}
	d.noteClaim(by, claims)
	d.answered[by] = true
	if d.claimed || now-d.started < firstDelegation {
		return false
	}
	return !slices.ContainsFunc(d.candidates, func(name string) bool { return !d.answered[name] })
}

// noteClaim notes whether an instance says that it has delegations of this one. Those of this process do
// not count: they replaced any of an earlier one.
func (d *Delegator) noteClaim(by string, claims bool) {
	if claims && !slices.ContainsFunc(d.leases[:], func(l lease) bool { return l.to == by }) {
		d.claimed = true
	}
}

// Leaves records that a candidate will coordinate no longer. Until the lease ends it is still asked for
// tokens. claims says that it has delegations of this instance.
func (d *Delegator) Leaves(name string, claims bool, now time.Duration) {
	d.noteClaim(name, claims)
	if slices.Contains(d.candidates, name) {
		d.heard[name] = heardCandidate{at: now, leaves: true}
	}
}
