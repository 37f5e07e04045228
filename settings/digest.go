package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Encode returns the form in which the revision is stored.
func (r Revision) Encode() ([]byte, error) {
	// UTC without a monotonic part survives encoding and decoding unchanged, on
	// which the digest relies.
	r.Time = r.Time.UTC().Round(0).Truncate(time.Microsecond)
	value, err := json.Marshal(r)
	return value, errors.Trace(err)
}

// Digest returns the SHA-256 of the whole revision in hexadecimal: files, audit
// record and the parent's digest. So one digest covers all earlier revisions.
func (r Revision) Digest() (string, error) {
	value, err := r.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:]), nil
}

// DecodeRevision reads a stored revision. It does not parse the files.
func DecodeRevision(value []byte) (*Revision, error) {
	var r Revision
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Annotate(err, "revision")
	}
	return &r, nil
}
