package exchange

import (
	"encoding/binary"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/fleet"
)

// An entry of an encoded digest has the key of the instance, its age in units of
// digestAgeUnit, its load in thousandths of a core, and the rest of its status as bits, all in
// big endian order.
const (
	digestEntryBytes = 8 + 2 + 2 + 1
	digestAgeUnit    = 10 * time.Millisecond
	maxUint16        = 1<<16 - 1

	digestReady          = 1 << 0
	digestStoreReachable = 1 << 1
)

// encodeDigest returns the encoded form of a digest. It is never empty: a first byte holds the
// version of the encoding.
func encodeDigest(entries []fleet.DigestEntry) []byte {
	b := make([]byte, 1, 1+len(entries)*digestEntryBytes)
	b[0] = digestVersion
	for _, e := range entries {
		b = binary.BigEndian.AppendUint64(b, e.Key)
		b = binary.BigEndian.AppendUint16(b, uint16(min(e.Age/digestAgeUnit, maxUint16)))
		b = binary.BigEndian.AppendUint16(b, uint16(min(1000*e.Status.Load, maxUint16)))
		var status byte
		if e.Status.Ready {
			status |= digestReady
		}
		if e.Status.StoreReachable {
			status |= digestStoreReachable
		}
		b = append(b, status)
	}
	return b
}

const digestVersion = 1

// decodeDigest returns the entries of an encoded digest. It fails if the version is not known
// or the last entry is not complete.
func decodeDigest(b []byte) ([]fleet.DigestEntry, error) {
	if len(b) == 0 || b[0] != digestVersion {
		return nil, errors.New("unknown version of a digest")
	}
	b = b[1:]
	if len(b)%digestEntryBytes != 0 {
		return nil, errors.Errorf("digest of %d bytes is not a number of entries of %d bytes", len(b), digestEntryBytes)
	}
	entries := make([]fleet.DigestEntry, 0, len(b)/digestEntryBytes)
	for ; len(b) > 0; b = b[digestEntryBytes:] {
		bits := b[12]
		entries = append(entries, fleet.DigestEntry{
			Key: binary.BigEndian.Uint64(b),
			Age: time.Duration(binary.BigEndian.Uint16(b[8:])) * digestAgeUnit,
			Status: fleet.HeartbeatStatus{
				Ready: bits&digestReady != 0, StoreReachable: bits&digestStoreReachable != 0,
				Load: float64(binary.BigEndian.Uint16(b[10:])) / 1000,
			},
		})
	}
	return entries, nil
}
