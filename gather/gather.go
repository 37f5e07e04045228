// Package gather merges the parts of an answer, each from a different shard, into one
// result. It does no I/O.
package gather

import (
	"bytes"
	"sort"
)

// RecordBytes is the size of one record in bytes. A part is a sequence of records, whose
// content has no meaning to this package beyond its order.
const RecordBytes = 16

// Greatest returns the greatest records of all parts, concatenated in descending order
// and at most limit of them. Records are compared byte by byte. Equal records are all
// kept. Bytes after the last whole record of a part are ignored. If limit is zero or
// negative, the result is empty.
func Greatest(parts [][]byte, limit int) []byte {
	var records [][]byte
	for _, p := range parts {
		for len(p) >= RecordBytes {
			records = append(records, p[:RecordBytes])
			p = p[RecordBytes:]
		}
	}
	sort.Slice(records, func(i, j int) bool { return bytes.Compare(records[i], records[j]) > 0 })
	records = records[:min(len(records), max(limit, 0))]
	out := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
