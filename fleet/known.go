package fleet

import "time"

// Known returns the known instances in no particular order, and by how many something must be divided
// that all instances share and must never use twice. That number also counts silent instances: they
// may only be cut off from this one. Removed instances count for sharerTimeout.
func (s *Instances) Known(now time.Duration) (instances []Instance, sharers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances = make([]Instance, 0, len(s.known))
	for _, k := range s.known {
		instances = append(instances, k.instance)
	}
	sharers = len(instances)
	for _, removed := range s.removedAt {
		if now-removed <= sharerTimeout {
			sharers++
		}
	}
	return instances, sharers
}
