package settings

import (
	"sort"
	"time"
)

// File is one service settings file as it was reviewed. A stored revision holds
// its Digest, under which the text is stored as a Part; revisions of earlier
// versions hold the Text itself and no Digest.
type File struct {
	Path   string `json:"path"`
	Digest string `json:"digest,omitempty"`
	Text   string `json:"text,omitempty"`
}

func (f File) digest() string {
	if f.Digest != "" {
		return f.Digest
	}
	return DigestOf(f.Text)
}

// Same reports whether both files have the same path and text.
func (f File) Same(other File) bool {
	return f.Path == other.Path && f.digest() == other.digest()
}

// Revision is one published configuration and its audit record.
type Revision struct {
	Number       uint64    `json:"number"`
	ParentDigest string    `json:"parent_digest"`
	Author       string    `json:"author"`
	Time         time.Time `json:"time"`
	Reason       string    `json:"reason"`
	ChangeID     string    `json:"change_id"`
	Files        []File    `json:"files"`
}

// Set is the parsed and validated content of a revision.
type Set struct {
	Services  map[string]*Service
	Searchers map[string]Placement
}

// Placement is a searcher together with the service that owns its limits.
type Placement struct {
	Searcher
	Service *Service
	Index   string
	Shard   uint32
}

// NewSet indexes services by name and their searchers by identifier.
func NewSet(services []*Service) *Set {
	set := &Set{Services: make(map[string]*Service), Searchers: make(map[string]Placement)}
	for _, s := range services {
		set.Services[s.Name] = s
		s.place(func(p Placement) bool {
			set.Searchers[p.ID] = p
			return true
		})
	}
	return set
}

// place calls take with each searcher until it returns false, and reports whether
// it never did.
func (s *Service) place(take func(Placement) bool) bool {
	for _, u := range s.Searchers {
		if !take(Placement{Searcher: u, Service: s}) {
			return false
		}
	}
	for _, index := range s.Indexes {
		for _, u := range index.Searchers {
			if !take(Placement{Searcher: u, Service: s, Index: index.Name, Shard: index.Shard}) {
				return false
			}
		}
	}
	return true
}

// FailureDomains returns the names of the failure domains that hold searchers,
// sorted.
func (s *Set) FailureDomains() []string {
	seen := make(map[string]bool)
	var names []string
	for _, p := range s.Searchers {
		if !seen[p.FailureDomain] {
			seen[p.FailureDomain] = true
			names = append(names, p.FailureDomain)
		}
	}
	sort.Strings(names)
	return names
}
