package settings

import (
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// scalar is the text of one value and whether YAML takes it for a number.
type scalar struct {
	text   string
	number bool
}

func readScalar(node ast.Node) (scalar, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return scalar{text: n.Value}, true
	case *ast.IntegerNode, *ast.FloatNode:
		return scalar{text: strings.TrimSpace(n.GetToken().Value), number: true}, true
	default:
		return scalar{}, false
	}
}

// value parses the value of a field with the function of its form. An absent
// field gives its default, and one that does not parse the zero value.
func value[T any](s *section, name string, parse func(Field, scalar) (T, string)) T {
	field, _ := s.r.field(s.prefix + name)
	node, present := s.values[name]
	if !present {
		var zero T
		if field.Default == "" {
			return zero
		}
		v, _ := parse(field, scalar{text: field.Default, number: true})
		return v
	}
	return element(s.r, node, field, s.label+name, parse)
}

func element[T any](r *reader, node ast.Node, field Field, label string, parse func(Field, scalar) (T, string)) T {
	var zero T
	raw, ok := readScalar(node)
	if !ok {
		r.report(nodePosition(node), label, field.Allowed(), "is %s", article(node.Type().YAMLName()))
		return zero
	}
	v, fault := parse(field, raw)
	if fault != "" {
		r.report(nodePosition(node), label, field.Allowed(), "%q %s", raw.text, fault)
		return zero
	}
	return v
}

func article(kind string) string {
	if kind == "null" {
		return "empty"
	}
	return "a " + kind
}

func parseName(_ Field, v scalar) (string, string) {
	switch {
	case v.number:
		return "", "is a number and needs quotes to be a name"
	case len(v.text) > maxNameLength:
		return "", "is too long"
	case !namePattern.MatchString(v.text):
		return "", "is not a name"
	}
	return v.text, ""
}

func parseText(_ Field, v scalar) (string, string) {
	if v.text == "" {
		return "", "is empty"
	}
	return v.text, ""
}

func parseChoice(f Field, v scalar) (string, string) {
	if !slices.Contains(f.Choices, v.text) {
		return "", "is not one of the choices"
	}
	return v.text, ""
}

func parseDuration(f Field, v scalar) (time.Duration, string) {
	if _, err := strconv.ParseFloat(v.text, 64); err == nil {
		return 0, "has no unit"
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		return 0, "is not a duration or has a wrong unit"
	}
	if float64(d) < f.Min || float64(d) > f.Max {
		return 0, "is out of range"
	}
	return d, ""
}

func parseCount(f Field, v scalar) (int, string) {
	n, err := strconv.Atoi(v.text)
	if err != nil || !v.number {
		return 0, "is not a whole number"
	}
	if float64(n) < f.Min || float64(n) > f.Max {
		return 0, "is out of range"
	}
	return n, ""
}

func parseShare(f Field, v scalar) (float64, string) {
	x, err := strconv.ParseFloat(v.text, 64)
	if err != nil || !v.number {
		return 0, "is not a number without unit"
	}
	if !(x >= f.Min && x <= f.Max) {
		return 0, "is out of range"
	}
	return x, ""
}

func parseAddress(f Field, v scalar) (string, string) {
	a, err := netip.ParseAddrPort(v.text)
	switch {
	case err != nil:
		return "", "is not IP:port; host names are not used"
	case a.Port() == 0 && f.Form == FormAddress:
		return "", "has port 0"
	case a.Addr().IsUnspecified():
		return "", "is an address that others cannot connect to"
	}
	return a.String(), ""
}

func (s *section) name(key string) string            { return value(s, key, parseName) }
func (s *section) text(key string) string            { return value(s, key, parseText) }
func (s *section) choice(key string) string          { return value(s, key, parseChoice) }
func (s *section) duration(key string) time.Duration { return value(s, key, parseDuration) }
func (s *section) count(key string) int              { return value(s, key, parseCount) }
func (s *section) share(key string) float64          { return value(s, key, parseShare) }
func (s *section) address(key string) string         { return value(s, key, parseAddress) }
