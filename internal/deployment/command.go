package deployment

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

func (d *Deployment) binary(name string) string { return filepath.Join(d.config.Binaries, name) }

// Output is what a program wrote until it ended with an exit code.
type Output struct {
	Stdout, Stderr string
	ExitCode       int
}

// run runs a program to its end and returns its standard output.
func (d *Deployment) run(name string, args ...string) (string, error) {
	out, err := d.output(name, args...)
	if err == nil && out.ExitCode != 0 {
		err = errors.Errorf("%s %s: exit code %d: %s%s", name, strings.Join(args, " "), out.ExitCode, out.Stdout, out.Stderr)
	}
	return out.Stdout, err
}

// output runs a program to its end. The error reports a program that did not
// run or was killed by a signal.
func (d *Deployment) output(name string, args ...string) (Output, error) {
	command := exec.Command(d.binary(name), args...)
	var stdout, stderr strings.Builder
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	out := Output{Stdout: stdout.String(), Stderr: stderr.String()}
	if exit, ok := errors.AsType[*exec.ExitError](err); ok && exit.Exited() {
		out.ExitCode, err = exit.ExitCode(), nil
	}
	return out, errors.Annotate(err, name)
}

// Wharfctl runs a command as the first operator and returns its output.
func (d *Deployment) Wharfctl(args ...string) (string, error) {
	return d.run("wharfctl", d.wharfctlArgs(d.config.Operators[0], args)...)
}

// Operate runs a command with the certificate of the named operator or instance.
func (d *Deployment) Operate(name string, args ...string) (Output, error) {
	return d.output("wharfctl", d.wharfctlArgs(name, args)...)
}

func (d *Deployment) wharfctlArgs(name string, args []string) []string {
	all := []string{"--platform=" + d.platformAddress,
		"--certificate=" + d.path("certificates/"+name+".pem"),
		"--key=" + d.path("certificates/"+name+"-key.pem"), "--ca=" + d.path("certificates/ca.pem")}
	for _, i := range d.Instances {
		all = append(all, "--operator-address="+i.BrokerOperatorAddress(), "--operator-address="+i.EntryOperatorAddress())
	}
	return append(all, args...)
}

// decode reads JSON text into a value.
func decode(text []byte, into any) error {
	return errors.Trace(json.Unmarshal(text, into))
}
