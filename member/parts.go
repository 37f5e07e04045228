package member

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// maxWantedParts bounds the digests in one frame; further ones are asked for
	// once these were received.
	maxWantedParts = 1000
	// maxPartsBytes bounds the parts in one frame, unless a single one is larger. An
	// exchange that is cut off by the time of a call keeps those that arrived, so
	// that small frames make progress on slow connections.
	maxPartsBytes = 256 << 10
	// partReaders is how many parts are read from the platform at once.
	partReaders = 8
)

// settle puts a revision whose parts are all held in force.
func (m *Member) settle() {
	known := m.config.State.View().Revision
	if err := m.config.State.Settle(); err != nil {
		m.config.Log.Warn("settings refused, the last good ones stay in force", "error", err)
	}
	if revision := m.config.State.View().Revision; revision != known {
		m.config.Log.Info("settings taken", "revision", revision)
	}
}

// wantedParts returns the parts to ask of a process. One that was asked of
// another process within the time of a call is on its way.
func (m *Member) wantedParts() []string {
	missing := m.config.State.MissingParts()
	now := m.config.Clock.Boottime()
	m.askedMu.Lock()
	defer m.askedMu.Unlock()
	if len(missing) == 0 {
		clear(m.asked)
		return nil
	}
	var wanted []string
	for _, digest := range missing {
		if at, ok := m.asked[digest]; ok && now < at+m.config.Timing.Call {
			continue
		}
		if len(wanted) == maxWantedParts {
			break
		}
		m.asked[digest] = now
		wanted = append(wanted, digest)
	}
	return wanted
}

// answeredParts notes that a process has sent what it holds of the parts, so that the
// others may be asked for.
func (m *Member) answeredParts(wanted []string) {
	m.askedMu.Lock()
	defer m.askedMu.Unlock()
	for _, digest := range wanted {
		delete(m.asked, digest)
	}
}

// partsFor returns what is held of the wanted parts, as far as it fits into one
// frame.
func (m *Member) partsFor(wanted []string) []peer.SettingsPart {
	var frames []peer.SettingsPart
	size := 0
	for _, part := range m.config.State.Parts(wanted, maxPartsBytes) {
		frames = append(frames, peer.SettingsPart(part))
		size += len(part.Digest) + len(part.Packed)
	}
	m.metrics.exchanged.WithLabelValues("parts").Add(float64(size))
	return frames
}

// takeParts takes parts that another process sent.
func (m *Member) takeParts(frames []peer.SettingsPart) {
	for _, frame := range frames {
		if err := m.config.State.TakePart(settings.Part(frame)); err != nil {
			m.config.Log.Warn("part of settings refused", "error", err)
		}
	}
	if len(frames) > 0 {
		signal(m.wakeSettle)
	}
}

// readParts reads the parts that the newest revision lacks from the platform.
// The error says that at least one was not read.
func (m *Member) readParts(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(partReaders)
	for _, digest := range m.config.State.MissingParts() {
		group.Go(func() error {
			object, err := m.get(ctx, settings.PartName(digest))
			if errors.Is(err, objectstore.ErrNotFound) {
				m.config.Log.Warn("part of settings is not stored", "digest", digest)
			}
			if err != nil {
				return errors.Annotatef(err, "part %s", digest)
			}
			if err := m.config.State.TakePart(settings.Part{Digest: digest, Packed: object.Value}); err != nil {
				m.config.Log.Warn("part of settings is damaged on the platform", "error", err)
				return errors.Trace(err)
			}
			signal(m.wakeSettle)
			return nil
		})
	}
	return group.Wait()
}
