package rollout

import "time"

// Report is what an instance, or the leader of a failure domain for its instances, knows of the
// progress of an order.
type Report struct {
	Tally Tally
	// Unconfirmed is the number of instances that do not follow the phase Promote yet, RunningOld
	// that of requests on searchers of other versions.
	Unconfirmed, RunningOld int
}

// silentAfter is the age of its last report from which on a source no longer counts as unconfirmed, since it
// has ended or may stay isolated for any time. In the phase Promote a source reports every 250 ms, so at
// least five reports in succession are missing by then.
const silentAfter = 1500 * time.Millisecond

// source is the last report of one source.
type source struct {
	Report
	at time.Duration
}

// Sums collects the reports on an order: those of the instances of the own failure domain, and those
// of the leaders of others. It is not safe for concurrent use.
type Sums struct {
	instances map[string]*source
	// domains holds the reports of other failure domains by their leaders.
	domains map[string]map[string]*source
}

// NewSums returns sums without reports.
func NewSums() *Sums {
	return &Sums{instances: make(map[string]*source), domains: make(map[string]map[string]*source)}
}

// Put records a report of an instance of the own failure domain. The name must be another one after
// a restart, since the counts begin anew.
func (s *Sums) Put(instance string, r Report, now time.Duration) { put(s.instances, instance, r, now) }

// PutDomain records the report of a leader of another failure domain.
func (s *Sums) PutDomain(domain, leader string, r Report, now time.Duration) {
	if s.domains[domain] == nil {
		s.domains[domain] = make(map[string]*source)
	}
	put(s.domains[domain], leader, r, now)
}

func put(sources map[string]*source, name string, r Report, now time.Duration) {
	known := sources[name]
	if known == nil {
		known = &source{Report: Report{Tally: make(Tally)}}
		sources[name] = known
	}
	known.Tally.Merge(r.Tally)
	known.Unconfirmed, known.RunningOld, known.at = r.Unconfirmed, r.RunningOld, now
}

// Own returns the sum over the own failure domain.
func (s *Sums) Own(now time.Duration) Report {
	total := Report{Tally: make(Tally)}
	for _, i := range s.instances {
		total.Tally.Add(i.Tally)
		total.addOpen(*i, now)
	}
	return total
}

// addOpen adds what a source has not finished, unless it is silent.
func (r *Report) addOpen(s source, now time.Duration) {
	if now-s.at <= silentAfter {
		r.Unconfirmed += s.Unconfirmed
		r.RunningOld += s.RunningOld
	}
}

// All returns the sum over all failure domains. Where two leaders report on one domain, the higher
// counts are the better ones, since each may lack instances but none counts one twice.
func (s *Sums) All(now time.Duration) Report {
	total := s.Own(now)
	for _, leaders := range s.domains {
		domain := make(Tally)
		var latest source
		for _, l := range leaders {
			domain.Merge(l.Tally)
			if l.at >= latest.at {
				latest = *l
			}
		}
		total.Tally.Add(domain)
		total.addOpen(latest, now)
	}
	return total
}
