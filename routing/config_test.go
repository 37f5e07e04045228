package routing

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMatch guards against a request that is sent to another route than the one with the
// longest matching path prefix of its host.
func TestMatch(t *testing.T) {
	short := &Route{Name: "short", Host: "a.example", Prefix: "/x/"}
	long := &Route{Name: "long", Host: "a.example", Prefix: "/x/y/"}
	other := &Route{Name: "other", Host: "B.example", Prefix: "/x/"}
	c := NewConfig(1, []*Route{short, other, long}, nil, Limits{})
	for _, test := range []struct {
		host, path string
		want       *Route
	}{
		{"a.example", "/x/1", short},
		{"a.example", "/x/y/1", long},
		{"A.EXAMPLE:8080", "/x/y/1", long},
		{"b.example", "/x/y/1", other},
		{"a.example", "/x", nil},
		{"a.example", "/z/", nil},
		{"c.example", "/x/1", nil},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			qt.Assert(t, c.Match(test.host, test.path), qt.Equals, test.want)
		})
	}
}

// TestMinShards guards against accepting an answer below the minimum share of shards, and
// against requiring one shard too many because of a rounding error in the share.
func TestMinShards(t *testing.T) {
	for _, test := range []struct {
		shards int
		share  float64
		want   int
	}{
		{10, 0.89, 9}, {10, 0.75, 8}, {15, 0.89, 14}, {15, 0.75, 12}, {10, 0.9, 9}, {10, 1, 10}, {3, 0, 1}, {10, 0.7, 7},
	} {
		r := &Route{Shards: make([]string, test.shards), MinShardShare: test.share}
		qt.Check(t, r.MinShards(), qt.Equals, test.want, qt.Commentf("%v", test))
	}
}

// TestPickServiceFollowsWeights guards against picking the services of a route in other
// proportions than those of their weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := &Route{Targets: []WeightedService{{Service: "one", Weight: 3}, {Service: "two", Weight: 1}}}
	count := 0
	const draws = 4000
	for range draws {
		if r.PickService(rand.Float64()) == "one" {
			count++
		}
	}
	share := float64(count) / draws
	qt.Assert(t, share > 0.7 && share < 0.8, qt.IsTrue, qt.Commentf("%.3f", share))
}
