// Package publish creates revisions of the service settings on the platform,
// compares them and verifies their history.
package publish

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Errors of Publish besides those of settings, the platform and RaceError.
const (
	// ErrNothingToDo reports that the newest revision has the same files.
	ErrNothingToDo = errors.ConstError("nothing to do: the newest revision has these files already")
	// ErrUnknown reports that the write may or may not have taken effect.
	// Publishing again with the same change identifier settles it.
	ErrUnknown = errors.ConstError("outcome is unknown")
)

// RaceError reports that another revision was published first. Nothing was
// written.
type RaceError struct {
	Winner *settings.Revision
	// Changes are what the winner changed against the revision that the loser
	// started from.
	Changes []Change
}

// Error names the winner with author and reason.
func (e *RaceError) Error() string {
	return fmt.Sprintf("%d %s: revision %d by %s, reason %q",
		result.RevisionRace, result.RevisionRace, e.Winner.Number, e.Winner.Author, e.Winner.Reason)
}

// Request is one publish.
type Request struct {
	Files  []settings.File
	Author string
	Reason string
	// ChangeID identifies the publish over all its repetitions. It is a UUIDv7.
	ChangeID string
	// Base is the revision that was reviewed. Zero accepts the newest.
	Base uint64
}

// Outcome is a revision that is published.
type Outcome struct {
	Revision *settings.Revision `json:"revision"`
	Changes  []Change           `json:"changes"`
	// Repeated is set if an earlier attempt with the same change identifier had
	// published the revision.
	Repeated bool `json:"repeated"`
}

// NewChangeID returns an identifier for a Request.
func NewChangeID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), errors.Trace(err)
}

// Publisher creates revisions. It is not safe for concurrent use.
type Publisher struct {
	history History
	clock   clock.Clock
	// parser parses a file that is the same in several revisions only once.
	parser settings.Parser
}

// New returns a Publisher.
func New(store objectstore.Store, c clock.Clock) *Publisher {
	return &Publisher{history: History{Store: store}, clock: c}
}

// Publish creates the revision after the newest one. One request only ever
// writes one number, and only if no object has it, so that repetitions and late
// writes cannot make a second revision of it.
func (p *Publisher) Publish(ctx context.Context, q Request) (Outcome, error) {
	issued, err := q.validate()
	if err != nil {
		return Outcome{}, err
	}
	if _, err := parse(&p.parser, &settings.Revision{Files: q.Files}); err != nil {
		return Outcome{}, err
	}
	parts, err := pack(q.Files)
	if err != nil {
		return Outcome{}, err
	}
	head, err := p.history.head(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if done, err := p.find(ctx, head, q.ChangeID, issued); err != nil || done != nil {
		return p.repeated(ctx, done), err
	}
	if q.Base != 0 && (head == nil || head.Number != q.Base) {
		return Outcome{}, p.lost(ctx, q.Base, head)
	}
	next, err := p.next(head, q)
	if err != nil {
		return Outcome{}, err
	}
	if err := p.history.store(ctx, parts); err != nil {
		return Outcome{}, err
	}
	if head != nil && sameFiles(head.Files, next.Files) {
		return Outcome{}, ErrNothingToDo
	}
	outcome, err := p.write(ctx, head, next)
	if err == nil {
		p.history.raiseFloor(ctx, next.Number)
	}
	return outcome, err
}

func (q Request) validate() (time.Time, error) {
	switch {
	case strings.TrimSpace(q.Reason) == "":
		return time.Time{}, errors.New("reason is missing")
	case q.Author == "":
		return time.Time{}, errors.New("author is missing")
	case len(q.Files) == 0:
		return time.Time{}, errors.New("there are no settings files")
	}
	id, err := uuid.Parse(q.ChangeID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, errors.Errorf("change identifier %q is not a UUIDv7", q.ChangeID)
	}
	return time.Unix(id.Time().UnixTime()), nil
}

// clockSkew is by how much the clocks of two operators may differ in a search
// for an earlier attempt.
const clockSkew = 10 * time.Minute

// find returns the revision with the change identifier, or nil. It reads
// backwards from head until revisions are older than the identifier.
func (p *Publisher) find(ctx context.Context, head *settings.Revision, changeID string, issued time.Time) (*settings.Revision, error) {
	for r := head; r != nil; {
		if r.ChangeID == changeID {
			return r, nil
		}
		if r.Number <= 1 || r.Time.Before(issued.Add(-clockSkew)) {
			return nil, nil
		}
		var err error
		if r, err = p.history.get(ctx, r.Number-1); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// repeated returns the outcome of an earlier attempt. Its changes are left out
// if its parent cannot be read, because the publish itself is done.
func (p *Publisher) repeated(ctx context.Context, done *settings.Revision) Outcome {
	if done == nil {
		return Outcome{}
	}
	if err := p.history.load(ctx, done, nil); err != nil {
		return Outcome{Revision: done, Repeated: true}
	}
	var parent *settings.Revision
	if done.Number > 1 {
		var err error
		if parent, err = p.history.get(ctx, done.Number-1); err != nil {
			return Outcome{Revision: done, Repeated: true}
		}
	}
	return Outcome{Revision: done, Changes: p.compare(ctx, parent, done), Repeated: true}
}

func (p *Publisher) next(head *settings.Revision, q Request) (*settings.Revision, error) {
	next := &settings.Revision{
		Number: 1, Author: q.Author, Reason: q.Reason, ChangeID: q.ChangeID,
		Time: p.clock.Now().UTC().Truncate(time.Microsecond), Files: sortedFiles(q.Files),
	}
	for i, f := range next.Files {
		next.Files[i].Digest = settings.DigestOf(f.Text)
	}
	if head != nil {
		digest, err := head.Digest()
		if err != nil {
			return nil, err
		}
		next.Number, next.ParentDigest = head.Number+1, digest
	}
	return next, nil
}

func (p *Publisher) write(ctx context.Context, head, next *settings.Revision) (Outcome, error) {
	value, err := next.Encode()
	if err != nil {
		return Outcome{}, err
	}
	if len(value) > settings.MaxPartBytes {
		return Outcome{}, errors.Errorf("revision has %d bytes, at most %d are allowed: there are too many files", len(value), settings.MaxPartBytes)
	}
	outcome := Outcome{Revision: next, Changes: p.compare(ctx, head, next)}
	_, err = p.history.Store.Create(ctx, ObjectName(next.Number), value)
	switch {
	case err == nil:
		return outcome, nil
	case errors.Is(err, objectstore.ErrUnavailable):
		return Outcome{}, errors.Annotatef(err, "publish revision %d", next.Number)
	}
	return p.readBack(ctx, head, outcome, value, err)
}

// readBackTries and readBackPause bound how long a lost reply or a reading that
// lags is followed up.
const (
	readBackTries = 5
	readBackPause = 200 * time.Millisecond
)

// readBack settles a write that failed with cause. The number is either taken
// by this request, then it is published, or by another, then the race is lost.
// While it is free the same write is sent again, which the object's name makes
// safe.
func (p *Publisher) readBack(ctx context.Context, head *settings.Revision, outcome Outcome, value []byte, cause error) (Outcome, error) {
	number := outcome.Revision.Number
	for try := 0; try < readBackTries; try++ {
		if try > 0 {
			if err := clock.Pause(ctx, readBackPause); err != nil {
				break
			}
		}
		there, err := p.history.get(ctx, number)
		if err == nil && there.ChangeID == outcome.Revision.ChangeID {
			there.Files = outcome.Revision.Files
			outcome.Revision = there
			return outcome, nil
		}
		if err == nil {
			return Outcome{}, p.race(ctx, head, there)
		}
		if result.From(err).Code == result.NoRevision && !errors.Is(cause, objectstore.ErrConflict) {
			if _, cause = p.history.Store.Create(ctx, ObjectName(number), value); cause == nil {
				return outcome, nil
			}
		}
	}
	return Outcome{}, errors.WithType(errors.Annotatef(cause, "publish revision %d", number), ErrUnknown)
}

// lost reports that the reviewed revision is not the newest one.
func (p *Publisher) lost(ctx context.Context, base uint64, head *settings.Revision) error {
	reviewed, err := p.history.get(ctx, base)
	if err != nil {
		return err
	}
	if head == nil || head.Number < base {
		return errors.Errorf("revision %d is not visible yet, try again", base)
	}
	return p.race(ctx, reviewed, head)
}

// race reports the winner with its changes against the revision that the loser
// started from.
func (p *Publisher) race(ctx context.Context, from, winner *settings.Revision) error {
	// A winner that cannot be read is named all the same, with changes by files.
	_ = p.history.load(ctx, winner, nil)
	return &RaceError{Winner: winner, Changes: p.compare(ctx, from, winner)}
}

// compare returns the changes from old, whose files it reads as far as they
// differ. If they cannot be read, the comparison is by files only.
func (p *Publisher) compare(ctx context.Context, old, next *settings.Revision) []Change {
	if old != nil {
		_ = p.history.load(ctx, old, next.Files)
	}
	return compare(&p.parser, old, next)
}

// Rollback publishes the files of an older revision as a new one.
func (p *Publisher) Rollback(ctx context.Context, number uint64, q Request) (Outcome, error) {
	old, err := p.history.Get(ctx, number)
	if err != nil {
		return Outcome{}, err
	}
	q.Files = old.Files
	return p.Publish(ctx, q)
}

func sortedFiles(files []settings.File) []settings.File {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b settings.File) int { return strings.Compare(a.Path, b.Path) })
	return sorted
}

func sameFiles(a, b []settings.File) bool {
	return slices.EqualFunc(sortedFiles(a), sortedFiles(b), settings.File.Same)
}
