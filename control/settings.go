package control

import (
	"maps"
	"sync"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// revisions is how a State takes a revision of the settings: it is incoming
// while parts of it are missing, complete once all are held, when other
// processes may have it, and in force once it is parsed. So a slow parser does
// not delay other processes, and a revision that is not valid replaces nothing.
type revisions struct {
	incoming, complete, inForce *candidate
	// parts holds those of the three revisions by digest.
	parts map[string]settings.Part
	// refused holds the numbers of revisions that are not valid.
	refused map[uint64]bool
	// settling orders parsing; it is locked before the lock of the state. It
	// guards parser.
	settling sync.Mutex
	parser   settings.Parser
}

// candidate is a revision with the item that holds it.
type candidate struct {
	item     Item
	revision *settings.Revision
}

func newRevisions() revisions {
	return revisions{parts: make(map[string]settings.Part), refused: make(map[uint64]bool)}
}

// seen reports whether the revision with the number needs not be received: it is
// known not to be valid, or it or a newer one is incoming.
func (r *revisions) seen(number uint64) bool {
	return r.refused[number] || r.incoming != nil && r.incoming.item.Major >= number
}

// TakeSettings takes the item of a revision if it is newer than what is known,
// and reports whether it was taken. The parts that MissingParts names then have
// to be brought by TakePart, after which Settle puts the revision in force.
func (s *State) TakeSettings(item Item) (bool, error) {
	revision, err := settings.DecodeRevision(item.Value)
	if err != nil {
		return false, errors.Annotatef(err, "item %q", item.Name)
	}
	if revision.Number != item.Major {
		return false, errors.Errorf("item %q: revision %d is offered as %d", item.Name, revision.Number, item.Major)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.items[ItemSettings]; ok && !item.newer(known) || s.settings.seen(item.Major) {
		return false, nil
	}
	s.settings.incoming = &candidate{item, revision}
	s.completeIncoming()
	return true, nil
}

// MissingParts returns the digests of the parts that the newest revision lacks.
func (s *State) MissingParts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.missing()
}

func (r *revisions) missing() []string {
	var digests []string
	if r.incoming == nil {
		return nil
	}
	seen := make(map[string]bool)
	for _, f := range r.incoming.revision.Files {
		if _, held := r.parts[f.Digest]; f.Digest != "" && !held && !seen[f.Digest] {
			seen[f.Digest] = true
			digests = append(digests, f.Digest)
		}
	}
	return digests
}

// TakePart takes a part that the newest revision lacks, and ignores others. It
// fails if the part does not have its digest.
func (s *State) TakePart(part settings.Part) error {
	if _, err := part.Unpack(); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range s.settings.missing() {
		if digest == part.Digest {
			s.settings.parts[digest] = part
			s.completeIncoming()
			break
		}
	}
	return nil
}

// Parts returns the parts with the given digests, as far as they are held and
// up to a sum of limit bytes, but at least one.
func (s *State) Parts(digests []string, limit int) []settings.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []settings.Part
	size := 0
	for _, digest := range digests {
		part, ok := s.settings.parts[digest]
		if !ok {
			continue
		}
		size += len(part.Packed) + len(digest)
		if size > limit && len(parts) > 0 {
			break
		}
		parts = append(parts, part)
	}
	return parts
}

// completeIncoming offers the newest revision to other processes once all its
// parts are held. The caller holds the lock.
func (s *State) completeIncoming() {
	r := &s.settings
	if len(r.missing()) > 0 {
		return
	}
	r.complete, r.incoming = r.incoming, nil
	s.offerSettings()
}

// offerSettings makes the complete revision the one that other processes
// receive, and forgets parts that no revision needs. The caller holds the lock.
func (s *State) offerSettings() {
	r := &s.settings
	if r.complete != nil {
		s.items[ItemSettings] = r.complete.item
	} else {
		delete(s.items, ItemSettings)
	}
	s.digest = 0
	kept := make(map[string]settings.Part)
	for _, c := range []*candidate{r.incoming, r.complete, r.inForce} {
		if c == nil {
			continue
		}
		for _, f := range c.revision.Files {
			if part, ok := r.parts[f.Digest]; ok {
				kept[f.Digest] = part
			}
		}
	}
	r.parts = kept
	s.notify()
}

// Settle puts the newest revision whose parts are all held in force. If it is
// not valid, the error says why, the one in force stays, and is again the one
// that other processes receive.
func (s *State) Settle() error {
	r := &s.settings
	r.settling.Lock()
	defer r.settling.Unlock()
	s.mu.Lock()
	next, parts := r.complete, maps.Clone(r.parts)
	s.mu.Unlock()
	if next == nil || next.item.Major <= s.View().Revision {
		return nil
	}
	set, err := r.parser.Parse(next.revision.Files, func(f settings.File) (string, error) {
		if f.Digest == "" {
			return f.Text, nil
		}
		return parts[f.Digest].Unpack()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		r.refused[next.item.Major] = true
		if r.complete == next {
			r.complete = r.inForce
		}
		s.offerSettings()
		return errors.Annotatef(err, "item %q", ItemSettings)
	}
	view := s.view.Load().clone()
	view.Revision, view.Settings = next.item.Major, set
	r.inForce = next
	maps.DeleteFunc(r.refused, func(number uint64, _ bool) bool { return number <= next.item.Major })
	s.view.Store(view)
	s.offerSettings()
	return nil
}
