package publish

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

const (
	// floorName is the object with the number of a revision that is published. It
	// only says where to look for the newest one, which may be greater, so that
	// not all revisions have to be listed.
	floorName = "heads/revisions"
	// rangeDigits is how many digits at the end of a name are open in one listing,
	// which so has 100 revisions at most.
	rangeDigits  = 2
	rangeNumbers = 100
)

// Reader is the part of the platform that Newest needs.
type Reader interface {
	Get(ctx context.Context, name string) (objectstore.Object, error)
	List(ctx context.Context, prefix string) ([]objectstore.Object, error)
}

// rangePrefix returns the prefix of the names of all revisions in the range of
// the number.
func rangePrefix(number uint64) string {
	name := ObjectName(number)
	return name[:len(name)-rangeDigits]
}

// Newest lists the last revisions that are published: the newest one and at most
// 99 others, without values and in no order; none if there are no revisions.
// known is a revision that is published, or zero. All revisions are listed only
// if neither it nor the platform says where to look. The errors are those of r.
func Newest(ctx context.Context, r Reader, known uint64) ([]objectstore.Object, error) {
	if known == 0 {
		number, _, err := floor(ctx, r)
		if err != nil {
			return nil, err
		}
		known = number
	}
	// A reading that lags may not show the first revision of a range yet.
	for _, from := range []uint64{known, max(known, rangeNumbers) - rangeNumbers} {
		newest, err := newestFrom(ctx, r, from)
		if err != nil || len(newest) > 0 {
			return newest, err
		}
	}
	all, err := r.List(ctx, prefix)
	return all, errors.Annotate(err, "list revisions")
}

// newestFrom lists one range after another until one is empty, and returns the
// last that is not.
func newestFrom(ctx context.Context, r Reader, number uint64) ([]objectstore.Object, error) {
	var newest []objectstore.Object
	for number > 0 {
		found, err := r.List(ctx, rangePrefix(number))
		if err != nil {
			return nil, errors.Annotate(err, "list revisions")
		}
		if len(found) == 0 {
			break
		}
		newest = found
		number += rangeNumbers
	}
	return newest, nil
}

// floor returns the number that the object floorName holds, and its version; a
// number of zero if it holds none.
func floor(ctx context.Context, r Reader) (number, version uint64, err error) {
	object, err := r.Get(ctx, floorName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, errors.Annotate(err, "find the newest revision")
	}
	if number, err = strconv.ParseUint(string(object.Value), 10, 64); err != nil {
		number = 0
	}
	return number, object.Version, nil
}

// raiseFloor notes a published revision if it is the first of its range. The
// publish is done without it, and a floor that stays behind costs one more
// listing per range, so that errors are left to the next publish.
func (h History) raiseFloor(ctx context.Context, number uint64) {
	known, version, err := floor(ctx, h.Store)
	if err != nil || known > 0 && known/rangeNumbers >= number/rangeNumbers {
		return
	}
	value := []byte(strconv.FormatUint(number, 10))
	if version == 0 {
		_, _ = h.Store.Create(ctx, floorName, value)
		return
	}
	_, _ = h.Store.Update(ctx, floorName, version, value)
}
