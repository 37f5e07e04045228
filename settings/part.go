package settings

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"

	"github.com/juju/errors"
)

// MaxPartBytes is the largest packed part. The platform takes 1 MiB, and so does
// a frame between processes, which also holds the digest.
const MaxPartBytes = 1<<20 - 4<<10

// maxTextBytes bounds what a part may unpack to, so that a small hostile part
// cannot take all memory. Service files pack to about a tenth.
const maxTextBytes = 32 << 20

// Part is the stored content of one service settings file.
type Part struct {
	// Digest is the SHA-256 of the text in hexadecimal. It does not depend on how
	// the text was packed.
	Digest string
	// Packed is the text, compressed with gzip.
	Packed []byte
}

// PartName returns the name of the platform object of a part.
func PartName(digest string) string { return "parts/" + digest }

// DigestOf returns the digest of a text as parts have it.
func DigestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Pack returns the part that holds the text.
func Pack(text string) (Part, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := io.WriteString(w, text); err != nil {
		return Part{}, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return Part{}, errors.Trace(err)
	}
	return Part{Digest: DigestOf(text), Packed: packed.Bytes()}, nil
}

// Unpack returns the text. It fails if the text does not have the digest.
func (p Part) Unpack() (string, error) {
	r, err := gzip.NewReader(bytes.NewReader(p.Packed))
	if err != nil {
		return "", errors.Annotatef(err, "part %s", p.Digest)
	}
	var text strings.Builder
	n, err := io.Copy(&text, io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return "", errors.Annotatef(err, "part %s", p.Digest)
	}
	if n > maxTextBytes {
		return "", errors.Errorf("part %s unpacks to more than %d bytes", p.Digest, maxTextBytes)
	}
	if got := DigestOf(text.String()); got != p.Digest {
		return "", errors.Errorf("part %s has the digest %s", p.Digest, got)
	}
	return text.String(), nil
}

// validDigest keeps anything but a digest out of the names of objects.
func validDigest(digest string) bool {
	raw, err := hex.DecodeString(digest)
	return err == nil && len(raw) == sha256.Size && strings.ToLower(digest) == digest
}
