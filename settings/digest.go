package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Encode returns the form in which the revision is stored. The text of a file
// with a digest is stored apart from it.
func (r Revision) Encode() ([]byte, error) {
	// UTC without a monotonic part survives encoding and decoding unchanged, on
	// which the digest relies.
	r.Time = r.Time.UTC().Round(0).Truncate(time.Microsecond)
	r.Files = slices.Clone(r.Files)
	for i := range r.Files {
		if r.Files[i].Digest != "" {
			r.Files[i].Text = ""
		}
	}
	value, err := json.Marshal(r)
	return value, errors.Trace(err)
}

// Digest returns the SHA-256 of the whole revision in hexadecimal: digests of the
// files, audit record and the parent's digest. So one digest covers all earlier revisions.
func (r Revision) Digest() (string, error) {
	value, err := r.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:]), nil
}

// DecodeRevision reads a stored revision, whose files have a digest or a text. It
// does not parse the files.
func DecodeRevision(value []byte) (*Revision, error) {
	var r Revision
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Annotate(err, "revision")
	}
	for _, f := range r.Files {
		if f.Digest != "" && !validDigest(f.Digest) {
			return nil, errors.Errorf("revision: %q is not the digest of a file", f.Digest)
		}
	}
	return &r, nil
}
