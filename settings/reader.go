package settings

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// position is a place in a file. Lines and columns count from one.
type position struct{ line, column int }

// reader reads one file according to a table of fields and collects all
// problems.
type reader struct {
	path     string
	fields   []Field
	problems []Problem
}

func (r *reader) report(at position, key, allowed, format string, args ...any) {
	r.problems = append(r.problems, Problem{
		Path: r.path, Line: at.line, Column: at.column, Key: key,
		Text: fmt.Sprintf(format, args...), Allowed: allowed,
	})
}

// root parses text and returns its top section, or nil if the text is not a
// YAML mapping.
func (r *reader) root(text string) *section {
	start := position{1, 1}
	if !utf8.ValidString(text) {
		r.report(start, "", "UTF-8", "is not UTF-8 text")
		return nil
	}
	file, err := parser.ParseBytes([]byte(text), 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.reportSyntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.report(start, "", "one YAML document", "holds no document or more than one")
		return nil
	}
	return r.open(file.Docs[0].Body, "", "")
}

func (r *reader) reportSyntax(err error) {
	at, text := position{1, 1}, err.Error()
	var syntax interface {
		error
		GetToken() *token.Token
		GetMessage() string
	}
	if errors.As(err, &syntax) {
		text = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil {
			at = tokenPosition(t)
		}
	}
	r.report(at, "", "a YAML mapping", "is not valid YAML: %s", text)
}

func tokenPosition(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{1, 1}
	}
	return position{t.Position.Line, t.Position.Column}
}

func nodePosition(n ast.Node) position {
	if m, ok := n.(ast.MapNode); ok {
		// The token of a mapping is the colon after its first key.
		if iter := m.MapRange(); iter.Next() {
			return tokenPosition(iter.Key().GetToken())
		}
	}
	return tokenPosition(n.GetToken())
}

// section is one mapping of the file.
type section struct {
	r      *reader
	prefix string // keys of fields, with "[]"
	label  string // keys as reported, with positions in lists
	at     position
	values map[string]ast.Node
	keys   map[string]position
}

// open reads the keys of a mapping. It returns nil if node is none.
func (r *reader) open(node ast.Node, prefix, label string) *section {
	m, ok := node.(ast.MapNode)
	if _, alias := node.(*ast.AliasNode); !ok || alias {
		r.report(nodePosition(node), strings.TrimSuffix(label, "."), "a mapping of "+r.keysUnder(prefix), "is not a mapping")
		return nil
	}
	s := &section{
		r: r, prefix: prefix, label: label, at: nodePosition(node),
		values: make(map[string]ast.Node), keys: make(map[string]position),
	}
	for iter := m.MapRange(); iter.Next(); {
		s.take(iter.Key(), iter.Value())
	}
	s.requireKeys()
	return s
}

func (s *section) take(key ast.MapKeyNode, value ast.Node) {
	t := key.GetToken()
	name, at := t.Value, tokenPosition(t)
	if _, ok := s.r.field(s.prefix + name); !ok {
		s.r.report(at, s.label+name, s.r.keysUnder(s.prefix), "is not a known key")
		return
	}
	if first, ok := s.keys[name]; ok {
		s.r.report(at, s.label+name, "each key once", "stands in line %d already", first.line)
		return
	}
	s.keys[name] = at
	switch value.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		s.r.report(nodePosition(value), s.label+name, "a plain value", "uses a YAML anchor, alias or tag")
	default:
		s.values[name] = value
	}
}

func (s *section) requireKeys() {
	for _, f := range s.r.fields {
		name, ok := directKey(f.Key, s.prefix)
		if !ok || !f.Required {
			continue
		}
		if _, present := s.keys[name]; !present {
			s.r.report(s.at, s.label+name, f.Allowed(), "is missing")
		}
	}
}

// directKey returns the last part of key if the rest of it is prefix.
func directKey(key, prefix string) (string, bool) {
	name, ok := strings.CutPrefix(key, prefix)
	return name, ok && !strings.ContainsAny(name, ".[")
}

func (r *reader) field(key string) (Field, bool) {
	for _, f := range r.fields {
		if f.Key == key {
			return f, true
		}
	}
	return Field{}, false
}

func (r *reader) keysUnder(prefix string) string {
	var names []string
	for _, f := range r.fields {
		if name, ok := directKey(f.Key, prefix); ok {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// position returns where the key's value stands, or the key, or, if the key is
// absent, the section.
func (s *section) position(name string) position {
	if v, ok := s.values[name]; ok {
		return nodePosition(v)
	}
	if at, ok := s.keys[name]; ok {
		return at
	}
	return s.at
}

// section opens the mapping under name. It returns nil if there is none.
func (s *section) section(name string) *section {
	node, ok := s.values[name]
	if !ok {
		return nil
	}
	return s.r.open(node, s.prefix+name+".", s.label+name+".")
}

// list returns the elements under name.
func (s *section) list(name string) []ast.Node {
	node, ok := s.values[name]
	if !ok {
		return nil
	}
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		s.r.report(nodePosition(node), s.label+name, "a list", "is not a list")
		return nil
	}
	return seq.Values
}

// sections opens the mappings of the list under name.
func (s *section) sections(name string) []*section {
	var all []*section
	for i, node := range s.list(name) {
		if e := s.r.open(node, s.prefix+name+"[].", fmt.Sprintf("%s%s[%d].", s.label, name, i)); e != nil {
			all = append(all, e)
		}
	}
	return all
}
