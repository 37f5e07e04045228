package publish

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// partCalls is how many parts are read or written at once.
const partCalls = 8

// pack returns the parts of the files.
func pack(files []settings.File) ([]settings.Part, error) {
	parts := make([]settings.Part, 0, len(files))
	for _, f := range files {
		part, err := settings.Pack(f.Text)
		if err != nil {
			return nil, errors.Annotate(err, f.Path)
		}
		if len(part.Packed) > settings.MaxPartBytes {
			return nil, errors.Errorf("%s has %d bytes when compressed, at most %d are allowed: divide the service", f.Path, len(part.Packed), settings.MaxPartBytes)
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// store makes sure that all parts are stored. Each is read, so that a revision
// never lists one that is missing or damaged, and written if it is missing.
func (h History) store(ctx context.Context, parts []settings.Part) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(partCalls)
	for _, part := range parts {
		group.Go(func() error { return h.storePart(ctx, part) })
	}
	return group.Wait()
}

// storePart follows a write whose reply was lost, or a reading that lags, by
// another reading. The same write again is harmless, because the name of the
// object says what it holds.
func (h History) storePart(ctx context.Context, part settings.Part) error {
	var cause error
	for try := 0; try < readBackTries; try++ {
		if try > 1 {
			if err := clock.Pause(ctx, readBackPause); err != nil {
				break
			}
		}
		_, err := h.readPart(ctx, part.Digest)
		switch {
		case err == nil || errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, errDamaged):
			return err
		case !errors.Is(err, objectstore.ErrNotFound):
			cause = err
			continue
		}
		_, cause = h.Store.Create(ctx, settings.PartName(part.Digest), part.Packed)
		if cause == nil || errors.Is(cause, objectstore.ErrUnavailable) {
			break
		}
	}
	return errors.Annotatef(cause, "store part %s", part.Digest)
}

// readPart returns the text of a part. It fails with objectstore.ErrNotFound or
// errDamaged if the part is not stored as it has to be.
func (h History) readPart(ctx context.Context, digest string) (string, error) {
	object, err := h.Store.Get(ctx, settings.PartName(digest))
	if err != nil {
		return "", errors.Annotatef(err, "read part %s", digest)
	}
	text, err := settings.Part{Digest: digest, Packed: object.Value}.Unpack()
	if err != nil {
		return "", errors.WithType(err, errDamaged)
	}
	return text, nil
}

// load reads the texts of the revision's files, except those that are known.
func (h History) load(ctx context.Context, r *settings.Revision, known []settings.File) error {
	texts := make(map[string]string)
	for _, f := range known {
		texts[f.Digest] = f.Text
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(partCalls)
	for i := range r.Files {
		f := &r.Files[i]
		if f.Digest == "" || f.Text != "" {
			continue
		}
		if text, ok := texts[f.Digest]; ok {
			f.Text = text
			continue
		}
		group.Go(func() (err error) {
			f.Text, err = h.readPart(ctx, f.Digest)
			return errors.Annotatef(err, "revision %d, file %s", r.Number, f.Path)
		})
	}
	return group.Wait()
}

// verifyParts returns the faults of the revision's parts. Parts that were
// checked with an earlier revision are left out.
func (h History) verifyParts(ctx context.Context, r *settings.Revision, checked map[string]bool) ([]string, error) {
	var faults []string
	for _, f := range r.Files {
		if f.Digest == "" || checked[f.Digest] {
			continue
		}
		checked[f.Digest] = true
		_, err := h.readPart(ctx, f.Digest)
		switch {
		case errors.Is(err, objectstore.ErrNotFound) || errors.Is(err, errDamaged):
			faults = append(faults, fmt.Sprintf("revision %d: the content of file %s is not readable: %v", r.Number, f.Path, err))
		case err != nil:
			return nil, err
		}
	}
	return faults, nil
}
