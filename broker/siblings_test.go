package broker

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMedianSlowdown guards against one slow searcher being taken for a slow
// instance, and against a comparison with too few others.
func TestMedianSlowdown(t *testing.T) {
	for _, c := range []struct {
		slowdowns []float64
		want      float64
	}{
		{[]float64{1, 5}, 0},
		{[]float64{1, 0, 5, 0}, 0},
		{[]float64{1, 1.1, 5}, 1.1},
		{[]float64{4, 5, 6, 0}, 5},
	} {
		var owners []*owner
		for _, s := range c.slowdowns {
			o := &owner{}
			o.slowdown.Store(math.Float64bits(s))
			owners = append(owners, o)
		}
		qt.Assert(t, medianSlowdown(owners), qt.Equals, c.want)
	}
}
