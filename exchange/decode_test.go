package exchange

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/mirror"
)

const wholeDelta = `{"full":true,"objects":[{"Name":"a","Revision":7,"Spec":{"x":[1,"}"]}},{"Name":"b","Revision":9,"Spec":null}],` +
	`"removed":[{"name":"c","revision":4,"known_at":8}],"skipped":[{"from":1,"to":3}],"epoch":2,"revision":12,"newest":11}`

// TestDeltaIsDecodedWhole guards against a delta of which a part is lost or misread, or that breaks off
// and counts as whole.
func TestDeltaIsDecodedWhole(t *testing.T) {
	decode := func(text string) (d mirror.Delta, err error) {
		err = decodeDelta(strings.NewReader(text), nil, &d)
		return d, err
	}
	for _, text := range []string{
		wholeDelta, `{}`, ` { "full" : false , "objects" : null , "revision" : 3 } ` + "\n",
		`{"later":{"objects":[{"Name":"x"}]},"objects":[],"removed":null,"newest":5}`,
	} {
		var want mirror.Delta
		qt.Assert(t, json.Unmarshal([]byte(text), &want), qt.IsNil)
		got, err := decode(text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(text))
		qt.Check(t, len(got.Objects), qt.Equals, len(want.Objects))
		if len(want.Objects) == 0 {
			got.Objects, want.Objects = nil, nil
		}
		qt.Check(t, got, qt.DeepEquals, want)
	}
	for n := range len(wholeDelta) {
		if _, err := decode(wholeDelta[:n]); err == nil {
			t.Errorf("the first %d bytes count as whole", n)
		}
	}
	for _, text := range []string{wholeDelta + `{}`, `[]`, `null`, `{"objects":{}}`, `{"objects":[7]}`, `{"revision":"x"}`, `{"objects":[}`} {
		if _, err := decode(text); err == nil {
			t.Errorf("%s is accepted", text)
		}
	}
}

// TestDecodedDeltaIsCounted guards against a delta whose objects take memory that nobody counts, and one
// whose text counts beside its objects once they are decoded.
func TestDecodedDeltaIsCounted(t *testing.T) {
	const objects, specBytes, limit = 1000, 1000, 64 << 20
	text := `{"objects":[` + strings.Repeat(`{"Name":"n","Revision":1,"Spec":"`+strings.Repeat("x", specBytes)+`"},`, objects-1) + `{}]}`
	budget := memory.NewBudget(limit)
	var d mirror.Delta
	qt.Assert(t, decodeDelta(strings.NewReader(text), budget.Hold(), &d), qt.IsNil)
	qt.Assert(t, d.Objects, qt.HasLen, objects)
	qt.Assert(t, budget.Used() >= int64(len(text)), qt.IsTrue)
	qt.Assert(t, budget.Used() <= int64(len(text)*3/2), qt.IsTrue, qt.Commentf("%d bytes count for a text of %d", budget.Used(), len(text)))
}
