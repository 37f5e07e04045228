package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Form is how the value of a field is written.
type Form string

// Forms of values.
const (
	FormSection  Form = "section"
	FormList     Form = "list"
	FormName     Form = "name"
	FormText     Form = "text"
	FormChoice   Form = "choice"
	FormDuration Form = "duration"
	FormCount    Form = "count"
	FormShare    Form = "share"
	FormAddress  Form = "address"
	FormListener Form = "listener"
)

// Field describes one key of a settings file. The parser and docs/settings.md
// both follow it.
type Field struct {
	// Key is the path of keys. "[]" stands for the elements of a list.
	Key  string
	Form Form
	// Required fields have no default.
	Required bool
	// Default is written as in the file. It is empty if the field is required
	// or if its absence has a meaning of its own, which Absent states.
	Default string
	Absent  string
	// Min and Max bound counts, shares, and durations in nanoseconds.
	Min, Max float64
	Choices  []string
	// Only limits the field to services of one kind.
	Only Kind
}

// Unit returns the unit in which the value is written.
func (f Field) Unit() string {
	switch f.Form {
	case FormDuration:
		return "us, ms, s, m or h"
	case FormCount:
		return "count"
	case FormShare:
		return "share"
	default:
		return "-"
	}
}

// Otherwise returns what holds when the field is absent.
func (f Field) Otherwise() string {
	switch {
	case f.Required:
		return "required"
	case f.Default != "":
		return f.Default
	default:
		return f.Absent
	}
}

// Allowed says in words which values the field takes.
func (f Field) Allowed() string {
	switch f.Form {
	case FormSection:
		return "a mapping"
	case FormList:
		return "a list"
	case FormName:
		return fmt.Sprintf("1 to %d letters, digits, '-', '_' and '.', the first a letter or digit", maxNameLength)
	case FormChoice:
		return strings.Join(f.Choices, " or ")
	case FormDuration:
		return fmt.Sprintf("a duration with unit (us, ms, s, m, h) from %s to %s", time.Duration(f.Min), time.Duration(f.Max))
	case FormCount:
		return fmt.Sprintf("a whole number from %.0f to %.0f", f.Min, f.Max)
	case FormShare:
		return fmt.Sprintf("a number from %s to %s", formatShare(f.Min), formatShare(f.Max))
	case FormAddress:
		return "IP:port with a port from 1 to 65535"
	case FormListener:
		return "IP:port with a port from 0 to 65535"
	default:
		return "text that is not empty"
	}
}

func formatShare(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// maxNameLength keeps the names of platform objects, which contain names of
// services and searchers, short.
const maxNameLength = 64

// Bounds that guard against typing errors. They are far above what the
// deployments use.
const (
	maxSlots         = 1000
	maxConnections   = 10000
	maxStepSuccesses = 10000
	maxQueue         = 100000
)

// maxHedgeBudget is half the load again, beyond which hedging cannot pay.
const maxHedgeBudget = 0.5

// serviceFields are the fields of a service settings file.
var serviceFields = append([]Field{
	{Key: "service", Form: FormName, Required: true},
	{Key: "kind", Form: FormChoice, Required: true, Choices: []string{string(KindSearch), string(KindBooking)}},
	{Key: "deadline", Form: FormDuration, Required: true, Min: float64(time.Millisecond), Max: float64(MaxDeadline)},
	{Key: "soft_deadline", Form: FormDuration, Absent: "the deadline", Min: float64(time.Millisecond), Max: float64(MaxDeadline), Only: KindSearch},
	{Key: "min_coverage", Form: FormShare, Default: "1", Min: 0, Max: 1, Only: KindSearch},
	{Key: "hedge_budget", Form: FormShare, Default: "0.05", Min: 0, Max: maxHedgeBudget, Only: KindSearch},
	{Key: "queue_limit", Form: FormCount, Default: "64", Min: 1, Max: maxQueue},
	{Key: "limits", Form: FormSection, Required: true},
	{Key: "limits.slots", Form: FormCount, Required: true, Min: 1, Max: maxSlots},
	{Key: "limits.connections", Form: FormCount, Required: true, Min: 1, Max: maxConnections},
	{Key: "limits.cold", Form: FormSection, Absent: "its fields' defaults"},
	{Key: "limits.cold.allowance", Form: FormCount, Default: "1", Min: 1, Max: maxSlots},
	{Key: "limits.cold.step_successes", Form: FormCount, Default: "8", Min: 1, Max: maxStepSuccesses},
	{Key: "indexes", Form: FormList, Absent: "none", Only: KindSearch},
	{Key: "indexes[].name", Form: FormName, Required: true},
	{Key: "indexes[].shard", Form: FormCount, Required: true, Min: 0, Max: 1<<20 - 1},
	{Key: "indexes[].searchers", Form: FormList, Required: true},
}, append(append(searcherFields("indexes[].searchers[]."),
	Field{Key: "searchers", Form: FormList, Absent: "none", Only: KindBooking}),
	searcherFields("searchers[].")...)...)

func searcherFields(prefix string) []Field {
	return []Field{
		{Key: prefix + "id", Form: FormName, Required: true},
		{Key: prefix + "address", Form: FormAddress, Required: true},
		{Key: prefix + "failure_domain", Form: FormName, Required: true},
	}
}

// processFields are the fields of a daemon's settings file.
var processFields = []Field{
	{Key: "id", Form: FormName, Required: true},
	{Key: "failure_domain", Form: FormName, Required: true},
	{Key: "caller_address", Form: FormListener, Absent: "none (a broker has no callers)"},
	{Key: "caller_listen_address", Form: FormListener, Absent: "`caller_address`"},
	{Key: "peer_address", Form: FormListener, Required: true},
	{Key: "peer_listen_address", Form: FormListener, Absent: "`peer_address`"},
	{Key: "operator_address", Form: FormListener, Required: true},
	{Key: "platform_address", Form: FormAddress, Required: true},
	{Key: "seeds", Form: FormList, Absent: "none"},
	{Key: "seeds[]", Form: FormAddress, Absent: "-"},
	{Key: "certificate", Form: FormText, Required: true},
	{Key: "key", Form: FormText, Required: true},
	{Key: "ca", Form: FormText, Required: true},
	{Key: "log_level", Form: FormChoice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}},
	{Key: "log_format", Form: FormChoice, Default: "text", Choices: []string{"text", "json"}},
	{Key: "address_lifetime", Form: FormDuration, Default: "5s", Min: float64(100 * time.Millisecond), Max: float64(time.Minute)},
	{Key: "stop_timeout", Form: FormDuration, Default: "30s", Min: float64(time.Second), Max: float64(10 * time.Minute)},
}

// ServiceFields returns the fields of a service settings file.
func ServiceFields() []Field { return append([]Field(nil), serviceFields...) }

// ProcessFields returns the fields of a daemon's settings file.
func ProcessFields() []Field { return append([]Field(nil), processFields...) }
