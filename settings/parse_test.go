package settings

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

const deskText = `service: desk
kind: search
deadline: 110ms
soft_deadline: 80ms
min_coverage: 0.9
limits: {slots: 3, connections: 30}
indexes:
  - name: slate-00
    shard: 0
    searchers:
      - {id: a, address: 127.0.0.1:9101, failure_domain: split}
`

const bookText = `service: book
kind: booking
deadline: 1s
limits: {slots: 3, connections: 30}
searchers:
  - {id: b, address: 127.0.0.1:9201, failure_domain: split}
`

const processText = `id: one
failure_domain: split
peer_address: 127.0.0.1:7101
operator_address: 127.0.0.1:7201
platform_address: 127.0.0.1:7000
certificate: a.pem
key: a-key.pem
ca: ca.pem
`

func problems(t *testing.T, err error) []string {
	t.Helper()
	e, ok := errors.AsType[*InvalidError](err)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	var lines []string
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return lines
}

// TestDefaults guards against a default that differs from the table of fields.
func TestDefaults(t *testing.T) {
	s, err := ParseService("desk.yaml", deskText)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Deadline, qt.Equals, 110*time.Millisecond)
	qt.Assert(t, s.HedgeBudget, qt.Equals, 0.05)
	qt.Assert(t, s.QueueLimit, qt.Equals, 64)
	qt.Assert(t, s.Limits, qt.Equals, Limits{Slots: 3, Connections: 30, Cold: Cold{Allowance: 1, StepSuccesses: 8}})
	p, err := ParseProcess("p.yaml", processText)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.StopTimeout, qt.Equals, 30*time.Second)
	qt.Assert(t, p.LogFormat, qt.Equals, "text")
	qt.Assert(t, p.PeerListen, qt.Equals, p.PeerAddress)
	p, err = ParseProcess("p.yaml", processText+"peer_listen_address: 127.0.0.1:7111\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.PeerListen, qt.Equals, "127.0.0.1:7111")
}

// TestFaults guards against a fault that is accepted, or reported at a place
// where nobody would look.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ text, old, with, want string }{
		{deskText, "kind:", "colour: red\nkind:", "f:2:1: colour: is not a known key; allowed: service, kind,"},
		{deskText, "110ms", "110", `f:3:11: deadline: "110" has no unit; allowed: a duration with unit`},
		{deskText, "110ms", "110mss", `f:3:11: deadline: "110mss" is not a duration or has a wrong unit`},
		{deskText, "110ms", "6s", `f:3:11: deadline: "6s" is out of range; allowed: a duration with unit (us, ms, s, m, h) from 1ms to 5s`},
		{deskText, "110ms", "", "f:3:10: deadline: is empty"},
		{deskText, "deadline: 110ms\nsoft", "soft", "f:1:1: deadline: is missing"},
		{deskText, "80ms", "120ms", "f:4:16: soft_deadline: 120ms is above the deadline; allowed: at most the deadline (110ms)"},
		{deskText, "0.9", "1.1", `f:5:15: min_coverage: "1.1" is out of range; allowed: a number from 0 to 1`},
		{deskText, "0.9", ".nan", "f:5:15: min_coverage: is a nan"},
		{deskText, "0.9", "0.9\nhedge_budget: 0.6", `f:6:15: hedge_budget: "0.6" is out of range`},
		{deskText, "0.9", "0.9\nqueue_limit: 5ms", `f:6:14: queue_limit: "5ms" is not a whole number`},
		{deskText, "slots: 3", "slots: 0", `f:6:17: limits.slots: "0" is out of range`},
		{deskText, "slots: 3", "slots: 31", "f:6:17: limits.slots: 31 is above connections; allowed: at most connections (30)"},
		{deskText, "30}", "30, cold: {allowance: 4}}", "f:6:55: limits.cold.allowance: 4 is above slots; allowed: at most slots (3)"},
		{deskText, "127.0.0.1:9101", "localhost:9101", "f:11:26: indexes[0].searchers[0].address: \"localhost:9101\" is not IP:port"},
		{deskText, "127.0.0.1:9101", "127.0.0.1", "f:11:26: indexes[0].searchers[0].address: \"127.0.0.1\" is not IP:port"},
		{deskText, "shard: 0", "shard: 1", "f:8:5: indexes[0].shard: 1 leaves a gap; allowed: each of the shards 0 to 0 once"},
		{deskText, "id: a", "id: 7", "indexes[0].searchers[0].id: \"7\" is a number and needs quotes"},
		{deskText, "id: a", "id: a/b", "indexes[0].searchers[0].id: \"a/b\" is not a name"},
		{deskText, "kind: search", "kind: search\nkind: booking", "f:3:1: kind: stands in line 2 already"},
		{deskText, "kind: search", "kind: query", `f:2:7: kind: "query" is not one of the choices; allowed: search or booking`},
		{deskText, "kind: search", "kind: booking", "f:4:1: soft_deadline: does not belong to a booking"},
		{deskText, deskText[strings.Index(deskText, "indexes"):], "", "f:1:1: indexes: a search has no indexes"},
		{deskText, "searchers:\n      - {id: a, address: 127.0.0.1:9101, failure_domain: split}", "searchers: []", "the index has no searchers"},
		{deskText, "id: a,", "id: &x a,", "f:11:14: indexes[0].searchers[0].id: uses a YAML anchor, alias or tag"},
		{bookText, bookText[strings.Index(bookText, "searchers"):], "", "f:1:1: searchers: a booking has no searchers"},
		{bookText, "split}", "split}\n  - {id: b, address: 127.0.0.1:9202, failure_domain: split}", `f:7:10: searchers[1].id: "b" stands in line 6 already`},
		{bookText, "split}", "split}\n  - {id: c, address: 127.0.0.1:9201, failure_domain: split}", `f:7:10: searchers[1].id: "c" has the address of "b"`},
		{bookText, bookText, "- a", "f:1:1: is not a mapping"},
		{bookText, bookText, "a: \"b", "is not valid YAML"},
		{bookText, bookText, "", "holds no document"},
		{bookText, bookText, "a: \xff", "is not UTF-8"},
	} {
		text := strings.Replace(c.text, c.old, c.with, 1)
		_, err := ParseService("f", text)
		qt.Check(t, strings.Join(problems(t, err), "\n"), qt.Contains, c.want)
	}
	for _, c := range []struct{ old, with, want string }{
		{"ca: ca.pem", "ca: ca.pem\nseeds: [127.0.0.1:1, host:2]", `seeds[1]: "host:2" is not IP:port`},
		{"ca: ca.pem", "ca: ca.pem\nlog_level: loud", "allowed: debug or info or warn or error"},
		{"ca: ca.pem", "ca: ca.pem\naddress_lifetime: 30s", "f:9:19: address_lifetime: 30s is not below stop_timeout"},
		{"127.0.0.1:7101", "0.0.0.0:7101", "is an address that others cannot connect to"},
		{"id: one\n", "", "f:1:1: id: is missing"},
	} {
		_, err := ParseProcess("f", strings.Replace(processText, c.old, c.with, 1))
		qt.Check(t, strings.Join(problems(t, err), "\n"), qt.Contains, c.want)
	}
}

// TestAllFaultsAtOnce guards against a report that ends at the first fault.
func TestAllFaultsAtOnce(t *testing.T) {
	bad := strings.NewReplacer("110ms", "110", "slots: 3", "slots: 0", "0.9", "2").Replace(deskText)
	_, err := ParseFiles([]File{{Path: "a.yaml", Text: bad}, {Path: "b.yaml", Text: strings.Replace(bookText, "1s", "1", 1)}})
	qt.Assert(t, problems(t, err), qt.HasLen, 4)
}

// TestSharedSearcher guards against two services whose owner would have to keep
// two different limits for one searcher, or one limit under two identifiers, also
// if only one of the services changed.
func TestSharedSearcher(t *testing.T) {
	share := strings.NewReplacer("id: b", "id: a", "9201", "9101").Replace(bookText)
	valid := []File{{Path: "a.yaml", Text: deskText}, {Path: "b.yaml", Text: share}}
	_, err := ParseFiles(valid)
	qt.Assert(t, err, qt.IsNil)
	text := func(f File) (string, error) { return f.Text, nil }
	var parser Parser
	first, err := parser.Parse(valid, text)
	qt.Assert(t, err, qt.IsNil)
	for _, c := range []struct{ old, with, want string }{
		{"slots: 3", "slots: 2", `b.yaml:6:10: searchers[0].id: "a" has other limits in a.yaml:11`},
		{"9101", "9102", `b.yaml:6:10: searchers[0].id: "a" has another address or failure domain in a.yaml:11`},
		{"id: a", "id: z", `b.yaml:6:10: searchers[0].id: "z" has the address of "a" in a.yaml:11`},
		{"service: book", "service: desk", `b.yaml:1:10: service: "desk" is defined in a.yaml already`},
	} {
		files := []File{valid[0], {Path: "b.yaml", Text: strings.Replace(share, c.old, c.with, 1)}}
		_, err := ParseFiles(files)
		qt.Check(t, problems(t, err), qt.HasLen, 1)
		qt.Check(t, problems(t, err)[0], qt.Contains, c.want)
		_, err = parser.Parse(files, text)
		qt.Check(t, problems(t, err), qt.HasLen, 1)
		qt.Check(t, problems(t, err)[0], qt.Contains, c.want)
	}
	next, err := parser.Parse([]File{valid[0], {Path: "b.yaml", Text: strings.Replace(share, "1s", "2s", 1)}}, text)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, next.Services["desk"] == first.Services["desk"], qt.IsTrue, qt.Commentf("parsed again"))
	qt.Check(t, next.Services["book"].Deadline, qt.Equals, 2*time.Second)
}

// TestParserAgreesWithParseFiles guards against a result that depends on the
// revisions before: other problems, another index, or a searcher that is left
// over.
func TestParserAgreesWithParseFiles(t *testing.T) {
	text := func(f File) (string, error) { return f.Text, nil }
	rapid.Check(t, func(t *rapid.T) {
		var parser Parser
		texts := make(map[string]string)
		for range rapid.IntRange(2, 8).Draw(t, "revisions") {
			path := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "path")
			name := path
			if rapid.IntRange(0, 9).Draw(t, "rename") == 0 {
				name = "a"
			}
			content := fmt.Sprintf("service: %s\nkind: booking\ndeadline: 1s\nlimits: {slots: %d, connections: 9}\nsearchers:\n",
				name, rapid.SampledFrom([]int{2, 2, 2, 3}).Draw(t, "slots"))
			for _, u := range rapid.SliceOfNDistinct(rapid.IntRange(1, 9), 1, 4, rapid.ID).Draw(t, "searchers") {
				port := u + rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "moved")
				content += fmt.Sprintf("  - {id: u%d, address: 127.0.0.1:%d, failure_domain: x}\n", u, 9000+port)
			}
			texts[path] = content
			if rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
				delete(texts, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "removed"))
			}
			var files []File
			for _, path := range slices.Sorted(maps.Keys(texts)) {
				files = append(files, File{Path: path, Text: texts[path]})
			}
			if rapid.IntRange(0, 5).Draw(t, "reverse") == 0 {
				slices.Reverse(files)
			}
			want, wantErr := ParseFiles(files)
			got, err := parser.Parse(files, text)
			if fmt.Sprint(err) != fmt.Sprint(wantErr) || !reflect.DeepEqual(got, want) {
				t.Fatalf("%v: got %+v, %v; want %+v, %v", files, got, err, want, wantErr)
			}
		}
	})
}

// TestPart guards against content that does not have the digest under which it
// is listed, and against a digest that names an object elsewhere.
func TestPart(t *testing.T) {
	part, err := Pack(deskText)
	qt.Assert(t, err, qt.IsNil)
	text, err := part.Unpack()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, deskText)
	other, err := Pack(bookText)
	qt.Assert(t, err, qt.IsNil)
	for _, damaged := range [][]byte{nil, part.Packed[:len(part.Packed)-9], other.Packed} {
		_, err = Part{Digest: part.Digest, Packed: damaged}.Unpack()
		qt.Check(t, err, qt.IsNotNil)
	}
	_, err = DecodeRevision([]byte(`{"files":[{"path":"a.yaml","digest":"../orders/domain/split"}]}`))
	qt.Assert(t, err, qt.ErrorMatches, `.* is not the digest of a file`)
}

// TestDamagedText guards against a panic, or a value out of bounds, on text
// that is damaged in any place.
func TestDamagedText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := deskText
		for range rapid.IntRange(1, 4).Draw(t, "cuts") {
			from := rapid.IntRange(0, len(text)).Draw(t, "from")
			to := rapid.IntRange(from, min(len(text), from+8)).Draw(t, "to")
			text = text[:from] + rapid.StringMatching(`[-:{}\[\]&*!|>"'#,a0 .\n]{0,3}`).Draw(t, "with") + text[to:]
		}
		s, err := ParseService("f", text)
		if err == nil && (s.Limits.Slots < 1 || s.Limits.Slots > s.Limits.Connections || s.Deadline > MaxDeadline || len(s.AllSearchers()) == 0) {
			t.Fatalf("accepted %q as %+v", text, s)
		}
	})
}

// TestDigest guards against a digest that leaves part of the audit record out
// or changes when the revision is stored.
func TestDigest(t *testing.T) {
	r := Revision{Number: 2, ParentDigest: "p", Author: "ana", Time: time.Now(), Reason: "r", ChangeID: "c", Files: []File{{Path: "a", Text: "b"}, {Path: "c", Digest: DigestOf("d")}}}
	digest, err := r.Digest()
	qt.Assert(t, err, qt.IsNil)
	value, err := r.Encode()
	qt.Assert(t, err, qt.IsNil)
	stored, err := DecodeRevision(value)
	qt.Assert(t, err, qt.IsNil)
	again, err := stored.Digest()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.Equals, digest)
	for i := range reflect.TypeFor[Revision]().NumField() {
		changed := *stored
		reflect.ValueOf(&changed).Elem().Field(i).SetZero()
		other, err := changed.Digest()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, other, qt.Not(qt.Equals), digest, qt.Commentf("field %d", i))
	}
}

// TestPage guards against a page that differs from the table of fields, and a
// table that differs from the types.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	qt.Assert(t, err, qt.IsNil)
	rows := make(map[string]int)
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			cells := strings.Split(line, " | ")
			rows[strings.Join(cells[:len(cells)-1], " | ")]++
		}
	}
	want := 0
	for _, table := range []struct {
		fields []Field
		typ    reflect.Type
	}{
		{ServiceFields(), reflect.TypeFor[Service]()},
		{ProcessFields(), reflect.TypeFor[Process]()},
		{OperatorFields(), reflect.TypeFor[Operator]()},
	} {
		keys := make(map[string]bool)
		for _, f := range table.fields {
			keys[f.Key] = true
			row := "| `" + f.Key + "` | " + f.Unit() + " | " + f.Otherwise() + " | " + f.Allowed()
			qt.Check(t, rows[row] > 0, qt.IsTrue, qt.Commentf("docs/settings.md lacks the row\n%s |", row))
			want++
		}
		for key := range yamlKeys(table.typ, "") {
			qt.Check(t, keys[key], qt.IsTrue, qt.Commentf("field %q of %s is not in the table", key, table.typ))
		}
	}
	got := 0
	for _, n := range rows {
		got += n
	}
	qt.Check(t, got, qt.Equals, want, qt.Commentf("rows in docs/settings.md"))
}

func yamlKeys(t reflect.Type, prefix string) map[string]bool {
	keys := make(map[string]bool)
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("yaml")
		keys[key] = true
		inner, innerPrefix := f.Type, key+"."
		if inner.Kind() == reflect.Slice {
			inner, innerPrefix = inner.Elem(), key+"[]."
		}
		if inner.Kind() == reflect.Struct {
			for k := range yamlKeys(inner, innerPrefix) {
				keys[k] = true
			}
		}
	}
	return keys
}

// TestExamples guards against examples that differ from the table of
// deployments in docs/design.md.
func TestExamples(t *testing.T) {
	type size [4]int // indexes, searchers, slots, connections
	for dir, want := range map[string]map[string]size{
		"brac": {
			"restoration-desk": {10, 30, 3, 30}, "dispatch": {15, 45, 3, 30},
			"order-booking": {0, 30, 2, 100}, "invoicing": {0, 15, 2, 100},
		},
		"bulikula": {
			"lane-scoring": {10, 30, 2, 25}, "coaching-notes": {15, 45, 2, 25},
			"lane-booking": {0, 7, 4, 45}, "bow-loans": {0, 3, 4, 45},
		},
	} {
		paths, err := filepath.Glob("../examples/" + dir + "/*.yaml")
		qt.Assert(t, err, qt.IsNil)
		var files []File
		for _, p := range paths {
			text, err := os.ReadFile(p)
			qt.Assert(t, err, qt.IsNil)
			files = append(files, File{Path: p, Text: string(text)})
		}
		set, err := ParseFiles(files)
		qt.Assert(t, err, qt.IsNil)
		got := make(map[string]size)
		for name, s := range set.Services {
			got[name] = size{len(s.Indexes), len(s.AllSearchers()), s.Limits.Slots, s.Limits.Connections}
			for _, index := range s.Indexes {
				domains := make(map[string]bool)
				for _, u := range index.Searchers {
					domains[u.FailureDomain] = true
				}
				qt.Check(t, domains, qt.HasLen, 3, qt.Commentf("%s", index.Name))
			}
		}
		qt.Check(t, got, qt.DeepEquals, want)
	}
}

// TestCallerListen guards against an entry that does not listen where it is
// told to.
func TestCallerListen(t *testing.T) {
	const callers = processText + "caller_address: 127.0.0.1:7001\n"
	p, err := ParseProcess("p.yaml", callers)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.CallerListen, qt.Equals, p.CallerAddress)
	p, err = ParseProcess("p.yaml", callers+"caller_listen_address: 127.0.0.1:7011\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.CallerListen, qt.Equals, "127.0.0.1:7011")
}
