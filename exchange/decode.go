package exchange

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// textFactor is how many times the text of a value is held while it is decoded: in a buffer that has
// up to twice its size, and as the value.
const textFactor = 3

// heldReader counts what is read, until it is decoded textFactor times and after that once.
type heldReader struct {
	reader io.Reader
	held   *memory.Holder
	// open is the number of bytes that were read since the last value was decoded.
	open int64
}

// Read implements io.Reader. It fails with memory.ErrExhausted if there is no memory for what is read.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.reader.Read(p)
	if !h.held.Grow(textFactor * int64(n)) {
		return 0, errors.Trace(memory.ErrExhausted)
	}
	h.open += int64(n)
	return n, err
}

// decoded records that all that was read is decoded, but for a little that was read ahead.
func (h *heldReader) decoded() {
	h.held.Shrink((textFactor - 1) * h.open)
	h.open = 0
}

// decodeDelta decodes a delta element by element, so that its text is never held whole.
func decodeDelta(r io.Reader, held *memory.Holder, d *mirror.Delta) error {
	reader := &heldReader{reader: r, held: held}
	decoder := json.NewDecoder(reader)
	if err := expectDelim(decoder, '{'); err != nil {
		return err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return errors.Trace(err)
		}
		if err := decodeMember(decoder, reader, name, d); err != nil {
			return err
		}
	}
	if err := expectDelim(decoder, '}'); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("delta is followed by something else")
	}
	return nil
}

// decodeMember decodes the member of a delta with the given name. One that is not known is skipped.
func decodeMember(decoder *json.Decoder, reader *heldReader, name json.Token, d *mirror.Delta) error {
	defer reader.decoded()
	var unknown json.RawMessage
	var member any = &unknown
	switch name {
	case "objects":
		return decodeList(decoder, reader, &d.Objects)
	case "removed":
		return decodeList(decoder, reader, &d.Removed)
	case "skipped":
		return decodeList(decoder, reader, &d.Skipped)
	case "full":
		member = &d.Full
	case "epoch":
		member = &d.Epoch
	case "revision":
		member = &d.Revision
	case "newest":
		member = &d.NewestChange
	}
	return errors.Trace(decoder.Decode(member))
}

// decodeList decodes a list or null.
func decodeList[T any](decoder *json.Decoder, reader *heldReader, list *[]T) error {
	begin, err := decoder.Token()
	if err != nil || begin == nil {
		return errors.Trace(err)
	}
	if begin != json.Delim('[') {
		return errors.Errorf("delta has %v in place of a list", begin)
	}
	for decoder.More() {
		if !reader.held.Grow(platform.ElementBytes) {
			return errors.Trace(memory.ErrExhausted)
		}
		var element T
		if err := decoder.Decode(&element); err != nil {
			return errors.Trace(err)
		}
		*list = append(*list, element)
		reader.decoded()
	}
	return expectDelim(decoder, ']')
}

// expectDelim reads a delimiter.
func expectDelim(decoder *json.Decoder, want json.Delim) error {
	got, err := decoder.Token()
	if err != nil {
		return errors.Trace(err)
	}
	if got != want {
		return errors.Errorf("delta has %v in place of %v", got, want)
	}
	return nil
}
