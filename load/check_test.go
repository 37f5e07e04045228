package load

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// part is one result of a search for "q".
func part(shard int, edit ...string) string {
	text := fmt.Sprintf(`{"shard":%d,"body":{"shard":%d,"snapshot":"s1","shards_total":2,"work_id":"w%d","query":"q"}}`, shard, shard, shard)
	return strings.NewReplacer(edit...).Replace(text)
}

func search(asked, answered int, missing, results string) answer {
	return answer{http.StatusOK, fmt.Appendf(nil,
		`{"request_id":"r","snapshot":"s1","coverage":{"asked":%d,"answered":%d,"missing":[%s]},"results":[%s]}`,
		asked, answered, missing, results)}
}

// TestCheckSearch guards against wrong answers that count as good.
func TestCheckSearch(t *testing.T) {
	both := part(0) + "," + part(1)
	const missing = `{"shard":1,"code":2103,"reason":"late"}`
	wrong := func(v verdict) verdict {
		v.class, v.kind = classError, kindWrong
		return v
	}
	for name, test := range map[string]struct {
		got  answer
		want verdict
	}{
		"complete":        {search(2, 2, "", both), verdict{class: classGood, coverage: 1}},
		"partial":         {search(2, 1, missing, part(0)), verdict{class: classPartial, coverage: 0.5}},
		"other query":     {search(2, 2, "", part(0)+","+part(1, `"q"`, `"p"`)), wrong(verdict{foreign: true})},
		"same work":       {search(2, 2, "", part(0)+","+part(1, "w1", "w0")), wrong(verdict{foreign: true})},
		"other snapshot":  {search(2, 2, "", part(0)+","+part(1, "s1", "s2")), wrong(verdict{mixed: true})},
		"shard twice":     {search(2, 2, "", part(0)+","+part(0, "w0", "w1")), wrong(verdict{falseCoverage: true})},
		"half as whole":   {search(1, 1, "", part(0)), wrong(verdict{falseCoverage: true})},
		"claims too much": {search(2, 2, "", part(0)), wrong(verdict{falseCoverage: true})},
		"not stated":      {search(2, 1, "", part(0)), wrong(verdict{falseCoverage: true})},
		"no reason":       {search(2, 1, `{"shard":1}`, part(0)), wrong(verdict{falseCoverage: true})},
		"missing present": {search(2, 1, `{"shard":0,"code":2103}`, part(0)), wrong(verdict{falseCoverage: true})},
		"other shard":     {search(2, 2, "", part(0)+","+part(1, `"body":{"shard":1`, `"body":{"shard":0`)), wrong(verdict{falseCoverage: true})},
		"outside layout":  {search(2, 2, "", part(0)+","+part(2)), wrong(verdict{falseCoverage: true})},
		"nothing asked":   {search(0, 0, "", ""), wrong(verdict{falseCoverage: true})},
		"no body":         {search(2, 2, "", part(0)+`,{"shard":1}`), failed(kindMalformed)},
		"not JSON":        {answer{http.StatusOK, []byte("ok")}, failed(kindMalformed)},
		"refused": {answer{503, []byte(`{"code":2201,"message":"m","run":"no","request_id":"r"}`)},
			verdict{class: classRefused, code: result.Overloaded, run: "no"}},
		"unknown code":    {answer{503, []byte(`{"code":77,"message":"m","run":"no","request_id":"r"}`)}, failed(kindStatus)},
		"no run":          {answer{503, []byte(`{"code":2201,"message":"m","request_id":"r"}`)}, failed(kindStatus)},
		"conflict status": {answer{409, []byte(`{"code":2201,"run":"no","request_id":"r"}`)}, failed(kindStatus)},
		"not an answer":   {answer{202, []byte(`{"code":2201,"run":"no","request_id":"r"}`)}, failed(kindStatus)},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, checkSearch(test.got, "q"), qt.Equals, test.want) })
	}
}

// TestCheckBooking guards against the answer to another booking that counts as
// good.
func TestCheckBooking(t *testing.T) {
	const text = `{"request_id":"r","key":"k","body":{"key":"k","item":"i","work_id":"w"},"repeated":false}`
	for from, want := range map[string]verdict{
		"":                  {class: classGood, run: "yes", coverage: 1, work: "w"},
		`"r","key":"k"`:     {class: classError, kind: kindWrong, foreign: true},
		`"body":{"key":"k"`: {class: classError, kind: kindWrong, foreign: true},
		`"item":"i"`:        {class: classError, kind: kindWrong, foreign: true},
		`,"repeated":false`: failed(kindMalformed),
	} {
		changed := strings.NewReplacer(`"k"`, `"x"`, `"i"`, `"x"`, `,"repeated":false`, "").Replace(from)
		got := answer{http.StatusOK, []byte(strings.Replace(text, from, changed, 1))}
		qt.Assert(t, checkBooking(got, "k", "i"), qt.Equals, want, qt.Commentf(from))
	}
}

// TestCompare guards against false refusals and doubled runs that the facts
// reveal, and against true refusals that are taken for false.
func TestCompare(t *testing.T) {
	no := verdict{class: classRefused, run: "no"}
	unknown := verdict{class: classRefused, run: "unknown"}
	ran := verdict{class: classGood, work: "w1"}
	ranAgain := verdict{class: classGood, work: "w2"}
	for name, test := range map[string]struct {
		attempts []verdict
		runs     int
		want     findings
	}{
		"refused":              {[]verdict{no}, 0, findings{}},
		"refused but ran":      {[]verdict{no, no}, 1, findings{falseRefusals: 1}},
		"refused, never sent":  {[]verdict{no, failed(kindConnect)}, 1, findings{falseRefusals: 1}},
		"refused, then ran":    {[]verdict{no, ran}, 1, findings{}},
		"refused, cut and ran": {[]verdict{no, failed(kindCut)}, 1, findings{}},
		"unknown and ran":      {[]verdict{unknown}, 1, findings{}},
		"unknown, not run":     {[]verdict{unknown}, 0, findings{}},
		"repeated":             {[]verdict{ran, ran}, 1, findings{}},
		"ran twice":            {[]verdict{ran, ranAgain}, 2, findings{doubledBookings: 1, otherOutcomes: 1}},
		"answered, not run":    {[]verdict{ran}, 0, findings{unrunBookings: 1}},
	} {
		var attempts []sample
		for _, v := range test.attempts {
			attempts = append(attempts, sample{verdict: v})
		}
		qt.Assert(t, compare(attempts, test.runs), qt.Equals, test.want, qt.Commentf(name))
	}
}
