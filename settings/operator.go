package settings

import (
	"fmt"
	"time"
)

// Operator is the settings file of wharfctl. All of it can be given by flags.
type Operator struct {
	PlatformAddress   string        `yaml:"platform_address"`
	OperatorAddresses []string      `yaml:"operator_addresses"`
	Certificate       string        `yaml:"certificate"`
	Key               string        `yaml:"key"`
	CA                string        `yaml:"ca"`
	Timeout           time.Duration `yaml:"timeout"`
}

// operatorFields are the fields of wharfctl's settings file.
var operatorFields = []Field{
	{Key: "platform_address", Form: FormAddress, Absent: "flag --platform"},
	{Key: "operator_addresses", Form: FormList, Absent: "flag --operator-address"},
	{Key: "operator_addresses[]", Form: FormAddress, Absent: "-"},
	{Key: "certificate", Form: FormText, Absent: "flag --certificate"},
	{Key: "key", Form: FormText, Absent: "flag --key"},
	{Key: "ca", Form: FormText, Absent: "flag --ca"},
	{Key: "timeout", Form: FormDuration, Default: "2s", Min: float64(100 * time.Millisecond), Max: float64(time.Minute)},
}

// OperatorFields returns the fields of wharfctl's settings file.
func OperatorFields() []Field { return append([]Field(nil), operatorFields...) }

// ParseOperator reads and validates the settings file of wharfctl. path stands
// in errors. The error is an *InvalidError with all problems of the file.
func ParseOperator(path, text string) (*Operator, error) {
	r := &reader{path: path, fields: operatorFields}
	var o Operator
	if s := r.root(text); s != nil {
		o = Operator{
			PlatformAddress: s.address("platform_address"),
			Certificate:     s.text("certificate"),
			Key:             s.text("key"),
			CA:              s.text("ca"),
			Timeout:         s.duration("timeout"),
		}
		o.OperatorAddresses = s.addresses("operator_addresses")
	}
	if err := invalid(r.problems); err != nil {
		return nil, err
	}
	return &o, nil
}

// addresses reads a list of addresses.
func (s *section) addresses(key string) []string {
	field, _ := s.r.field(s.prefix + key + "[]")
	var all []string
	for i, node := range s.list(key) {
		all = append(all, element(s.r, node, field, fmt.Sprintf("%s%s[%d]", s.label, key, i), parseAddress))
	}
	return all
}
