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
	// before it ended.
	Lease = 1200 * time.Millisecond
	// AskInterval is the time between two questions of a coordinator for delegations. Two of three
	// questions may be lost before a lease ends.
	AskInterval = 400 * time.Millisecond
	// leaseMargin is how much earlier the coordinator's lease ends. It is above the time for which a
	// coordinator does not look at the ends of leases.
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
	// heard holds when each candidate last asked for delegations.
	heard  map[string]time.Duration
	leases [Buckets]lease
}

// lease says until when a part of a bucket is left to a coordinator.
type lease struct {
	to    string
	until time.Duration
}

// NewDelegator returns a Delegator without candidates.
func NewDelegator() *Delegator { return &Delegator{heard: make(map[string]time.Duration)} }

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

// Coordinator returns the coordinator of a bucket: the first candidate in its order that has asked
// for delegations lately. It is empty if there is none.
func (d *Delegator) Coordinator(bucket int, now time.Duration) string {
	for _, name := range d.ranking[bucket] {
		if at, ok := d.heard[name]; ok && now-at <= coordinatorTimeout {
			return name
		}
	}
	return ""
}

// Asked records that a candidate asks for delegations, and returns the buckets that are delegated to
// it, one bit each. If may is false, nothing is delegated.
func (d *Delegator) Asked(by string, may bool, now time.Duration) uint16 {
	if !slices.Contains(d.candidates, by) {
		return 0
	}
	d.heard[by] = now
	if !may {
		return 0
	}
	var mask uint16
	for b := range d.leases {
		l := &d.leases[b]
		if d.Coordinator(b, now) == by && (l.to == by || now >= l.until) {
			*l = lease{to: by, until: now + Lease}
			mask |= 1 << b
		}
	}
	return mask
}

// Left records that a candidate coordinates no longer.
func (d *Delegator) Left(name string) { delete(d.heard, name) }
