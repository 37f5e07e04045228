package publish

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// prefix of the platform objects that hold revisions. The number that follows
// is padded, so that the order of names is the order of revisions.
const prefix = "revisions/"

// ObjectName returns the name of the platform object of a revision.
func ObjectName(number uint64) string { return fmt.Sprintf("%s%012d", prefix, number) }

// History reads published revisions.
type History struct {
	Store objectstore.Store
}

// Numbers returns the numbers of all revisions, rising. A reading of the
// platform may lag, so the last ones may be absent.
func (h History) Numbers(ctx context.Context) ([]uint64, error) {
	objects, err := h.Store.List(ctx, prefix)
	if err != nil {
		return nil, errors.Annotate(err, "list revisions")
	}
	return numbersOf(objects), nil
}

// numbersOf returns the numbers of revisions by their objects, rising.
func numbersOf(objects []objectstore.Object) []uint64 {
	numbers := make([]uint64, 0, len(objects))
	for _, o := range objects {
		n, err := strconv.ParseUint(strings.TrimPrefix(o.Name, prefix), 10, 64)
		if err == nil && ObjectName(n) == o.Name {
			numbers = append(numbers, n)
		}
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers
}

// Get returns one revision with its files. It fails with result.NoRevision if
// there is none.
func (h History) Get(ctx context.Context, number uint64) (*settings.Revision, error) {
	r, err := h.get(ctx, number)
	if err != nil {
		return nil, err
	}
	return r, h.load(ctx, r, nil)
}

// get returns one revision without the texts of its files.
func (h History) get(ctx context.Context, number uint64) (*settings.Revision, error) {
	object, err := h.Store.Get(ctx, ObjectName(number))
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, result.NotRun(result.NoRevision, "revision %d", number)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "read revision %d", number)
	}
	r, err := settings.DecodeRevision(object.Value)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "object %q", object.Name), errDamaged)
	}
	if r.Number != number {
		return nil, errors.WithType(errors.Errorf("object %q holds revision %d", object.Name, r.Number), errDamaged)
	}
	return r, nil
}

// Head returns the newest revision with its files, or nil if none was published.
func (h History) Head(ctx context.Context) (*settings.Revision, error) {
	r, err := h.head(ctx)
	if err != nil || r == nil {
		return nil, err
	}
	return r, h.load(ctx, r, nil)
}

func (h History) head(ctx context.Context) (*settings.Revision, error) {
	objects, err := Newest(ctx, h.Store, 0)
	numbers := numbersOf(objects)
	if err != nil || len(numbers) == 0 {
		return nil, err
	}
	number := numbers[len(numbers)-1]
	r, err := h.get(ctx, number)
	if err != nil && result.From(err).Code == result.NoRevision {
		return nil, errors.Errorf("revision %d is listed but not readable yet, try again", number)
	}
	return r, err
}

// Last returns at most limit revisions without the texts of their files, newest
// first.
func (h History) Last(ctx context.Context, limit int) ([]*settings.Revision, error) {
	if limit <= 0 {
		return nil, nil
	}
	head, err := h.head(ctx)
	if err != nil || head == nil {
		return nil, err
	}
	all := []*settings.Revision{head}
	for number := head.Number - 1; number > 0 && len(all) < limit; number-- {
		r, err := h.get(ctx, number)
		if err != nil && result.From(err).Code == result.NoRevision {
			continue
		}
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

// errDamaged reports an object that does not hold the revision that its name
// says.
const errDamaged = errors.ConstError("revision is damaged")

// isDamage tells a fault of the history from a failure to read it.
func isDamage(err error) bool {
	return errors.Is(err, errDamaged) || result.From(err).Code == result.NoRevision
}

// Verification is the outcome of a check of the whole history.
type Verification struct {
	Revisions int      `json:"revisions"`
	Digest    string   `json:"digest"`
	Faults    []string `json:"faults"`
}

// Verify reads all revisions and checks that the numbers leave no gap, that each
// revision names its parent's digest, and that the parts of all are stored and
// have their digests. Digest is that of the newest revision.
func (h History) Verify(ctx context.Context) (Verification, error) {
	v := Verification{Faults: []string{}}
	numbers, err := h.Numbers(ctx)
	if err != nil {
		return v, err
	}
	// After a gap the parent's digest is not known and cannot be compared.
	want, parent, known := uint64(1), "", true
	checked := make(map[string]bool)
	for _, n := range numbers {
		if n != want {
			v.Faults = append(v.Faults, fmt.Sprintf("revisions %d to %d are missing", want, n-1))
			known = false
		}
		want = n + 1
		r, err := h.get(ctx, n)
		if err != nil && !isDamage(err) {
			return v, err
		}
		if err != nil {
			v.Faults = append(v.Faults, fmt.Sprintf("revision %d is not readable: %v", n, err))
			parent, known = "", false
			continue
		}
		if known && r.ParentDigest != parent {
			v.Faults = append(v.Faults, fmt.Sprintf("revision %d names parent digest %q, but its parent has %q", n, r.ParentDigest, parent))
		}
		if parent, err = r.Digest(); err != nil {
			return v, err
		}
		known = true
		v.Revisions++
		faults, err := h.verifyParts(ctx, r, checked)
		if err != nil {
			return v, err
		}
		v.Faults = append(v.Faults, faults...)
	}
	v.Digest = parent
	return v, nil
}
