package gather

import (
	"bytes"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestGreatest guards against records that are lost, duplicated or in the wrong order,
// for parts of any content.
func TestGreatest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70), 0, 5).Draw(r, "parts")
		limit := rapid.IntRange(0, 8).Draw(r, "limit")
		var all []string
		for _, p := range parts {
			for i := 0; i+RecordBytes <= len(p); i += RecordBytes {
				all = append(all, string(p[i:i+RecordBytes]))
			}
		}
		sort.Sort(sort.Reverse(sort.StringSlice(all)))
		var want []byte
		for _, s := range all[:min(limit, len(all))] {
			want = append(want, s...)
		}
		if got := Greatest(parts, limit); !bytes.Equal(got, want) {
			r.Fatalf("got %x, want %x", got, want)
		}
	})
}

// TestIncompleteRecordIgnored guards against bytes after the last whole record of a part
// that are taken for a record.
func TestIncompleteRecordIgnored(t *testing.T) {
	qt.Assert(t, Greatest([][]byte{[]byte("0123456789abcdefREST")}, 5), qt.DeepEquals, []byte("0123456789abcdef"))
}
