package main

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/identity"
)

type devCACommand struct {
	app       *app
	Instances []string `long:"instance" value-name:"NAME" description:"name of an instance to issue a certificate for; may be repeated"`
	Operators []string `long:"operator" value-name:"NAME" description:"name of an operator to issue a certificate for; may be repeated"`
	Args      struct {
		Dir flags.Filename `positional-arg-name:"DIR" description:"directory for the PEM files"`
	} `positional-args:"yes" required:"yes"`
}

// issued is one certificate in the output.
type issued struct {
	Name        string        `json:"name"`
	Role        identity.Role `json:"role"`
	Certificate string        `json:"certificate"`
	Key         string        `json:"key"`
	CA          string        `json:"ca"`
}

// Execute creates an authority and the certificates.
func (c *devCACommand) Execute([]string) error {
	if len(c.Instances)+len(c.Operators) == 0 {
		return &flags.Error{Type: flags.ErrRequired, Message: "give at least one --instance or --operator; the authority's key is not kept"}
	}
	if err := checkFileNames(append(append([]string{"ca"}, c.Instances...), c.Operators...)); err != nil {
		return err
	}
	ca, err := identity.NewDevCA(string(c.Args.Dir))
	if err != nil {
		return err
	}
	var all []issued
	issue := func(names []string, role identity.Role) error {
		for _, name := range names {
			files, err := ca.Issue(name, role)
			if err != nil {
				return errors.Annotatef(err, "certificate of %q", name)
			}
			all = append(all, issued{name, role, files.Certificate, files.Key, files.CA})
		}
		return nil
	}
	if err := issue(c.Instances, identity.RoleInstance); err != nil {
		return err
	}
	if err := issue(c.Operators, identity.RoleOperator); err != nil {
		return err
	}
	return c.app.show(all, func(w io.Writer) {
		rows := make([][]string, 0, len(all))
		for _, i := range all {
			rows = append(rows, []string{i.Name, string(i.Role), i.Certificate, i.Key})
		}
		writeTable(w, []string{"NAME", "ROLE", "CERTIFICATE", "KEY"}, rows)
		_, _ = fmt.Fprintln(w, "For tests and demonstrations only.")
	})
}

// checkFileNames refuses names whose files would replace each other or lie
// outside the directory.
func checkFileNames(names []string) error {
	files := make(map[string]string)
	for _, name := range names {
		if name == "" || name != filepath.Base(name) || strings.HasPrefix(name, ".") {
			return errors.Errorf("%q cannot be the name of a file", name)
		}
		for _, file := range []string{name, name + "-key"} {
			if other, ok := files[file]; ok {
				return errors.Errorf("certificates of %q and %q would have the same file names", other, name)
			}
			files[file] = name
		}
	}
	return nil
}
