// Wharfctl is the operators' command line: it checks, publishes and compares
// service settings, gives orders and shows the state of instances.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/wisteriawharf/wisteriawharf/control"
)

func main() {
	os.Exit(run(os.Args[1:], &environment{
		stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, openStore: openStore,
	}))
}

// environment is what commands act on besides their options.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	openStore      storeOpener
}

// run executes one command line and returns the exit code.
func run(args []string, env *environment) int {
	app := newApp(env)
	if _, err := app.parser.ParseArgs(args); err != nil {
		return app.fail(err)
	}
	return exitOK
}

// app holds the options of all commands and the streams they write to.
type app struct {
	env     *environment
	options options
	parser  *flags.Parser
	// started is set once the command line was understood.
	started bool
}

func newApp(env *environment) *app {
	a := &app{env: env}
	a.parser = flags.NewNamedParser("wharfctl", flags.HelpFlag|flags.PassDoubleDash)
	a.parser.LongDescription = helpText
	a.parser.CommandHandler = a.execute
	mustAdd(a.parser.AddGroup("Operator settings", "", &a.options))
	a.addCommands()
	return a
}

// execute runs a command whose options were understood.
func (a *app) execute(command flags.Commander, rest []string) error {
	if len(rest) > 0 {
		return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected arguments: %q", rest)}
	}
	a.started = true
	if command == nil {
		return nil
	}
	return command.Execute(nil)
}

// mustAdd panics if the declaration of an option or command is faulty, which
// any run shows.
func mustAdd[T any](_ T, err error) {
	if err != nil {
		panic("wharfctl: " + err.Error())
	}
}

func (a *app) addCommands() {
	add := func(parent interface {
		AddCommand(name, short, long string, data any) (*flags.Command, error)
	}, name, short string, data any) *flags.Command {
		c, err := parent.AddCommand(name, short, short+".", data)
		mustAdd(c, err)
		return c
	}
	add(a.parser, "check", "Validate the service settings files of a directory", &checkCommand{app: a})
	add(a.parser, "diff", "Say what publishing a directory would change", &diffCommand{app: a})
	add(a.parser, "publish", "Publish the service settings files of a directory as a new revision", &publishCommand{app: a})
	add(a.parser, "rollback", "Publish the content of an older revision as a new one", &rollbackCommand{app: a})
	add(a.parser, "log", "List revisions, newest first", &logCommand{app: a})
	add(a.parser, "show", "Show one revision with its files", &showCommand{app: a})
	add(a.parser, "verify", "Check the chain of digests through all revisions", &verifyCommand{app: a})
	add(a.parser, "status", "Show the state of all instances", &statusCommand{app: a})
	domain := add(a.parser, "domain", "Take a failure domain out of service or back", &struct{}{})
	add(domain, "out", "Take a failure domain out of service", &orderCommand{app: a, kind: control.OrderDomain, out: true})
	add(domain, "back", "Put a failure domain back into service", &orderCommand{app: a, kind: control.OrderDomain})
	upstream := add(a.parser, "upstream", "Drain one searcher or put it back", &struct{}{})
	add(upstream, "drain", "Send no new work to a searcher", &orderCommand{app: a, kind: control.OrderUpstream, out: true})
	add(upstream, "undrain", "Put a drained searcher back into service", &orderCommand{app: a, kind: control.OrderUpstream})
	process := add(a.parser, "process", "Show processes that takeovers wait for, or state that one has ended", &struct{}{})
	add(process, "awaited", "Show processes that have not acknowledged the removal of a lost broker", &awaitedCommand{app: a})
	add(process, "ended", "State that a process has ended, so that nothing waits for it", &orderCommand{app: a, kind: control.OrderProcess, out: true})
	add(a.parser, "explain", "Show what instances know of a request", &explainCommand{app: a})
	add(a.parser, "placement", "Ask an instance where a request would go now, and why", &placementCommand{app: a})
	add(a.parser, "dev-ca", "Create certificates for tests and demonstrations", &devCACommand{app: a})
	add(a.parser, "completion", "Print the completion script for bash", &completionCommand{app: a})
}
