package scenarios

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/internal/relay"
	"github.com/wisteriawharf/wisteriawharf/operator"
)

// command is one command of the language of scenarios.
type command func(s *scenario, ts *testscript.TestScript, args []string) error

// commands returns the language of scenarios. A REPORT is a name given by
// finish or read. Sources are facts (of the searchers), platform (its calls),
// faults (of the platform), status (of all processes, summed up), distance (the
// delayed flows between failure domains) and object:NAME (of the platform).
//
//	deploy EXAMPLE [FLAG...]          start a deployment; flags of the upstream stand-in
//	deploy-apart DOMAINS CALLERS EXAMPLE [FLAG...]  with delays, each way
//	warm-up                           load until the brokers know the searchers
//	operator NAME ARGS...             run wharfctl; "!" expects a failure
//	ended NAME                        state the end of all processes that takeovers wait for
//	race NAME NAME                    both publish at once; one is to win
//	set-service NAME OLD NEW          change a file of the service settings
//	broker|entry kill|pause|resume|stop|start INSTANCE
//	replace INSTANCE                  stop entry and broker as planned, start both again
//	platform down|up|delay MS|lose-replies N|stale on|stale off
//	upstream SELECTOR JSON            change searchers: ID, domain=NAME, service=NAME or *
//	load NAME RATE MIX [FLAG...]      start load that runs until finish
//	finish NAME                       end load and keep its report
//	read SOURCE REPORT                keep a report
//	mark NAME                         remember the present moment
//	elapse DURATION since MARK        wait until so much time has passed
//	wait-for DURATION SOURCE PATH OP VALUE
//	expect REPORT PATH OP VALUE       compare a number or text
//	unchanged|grown REPORT REPORT PATH
//	relay SEARCHER                    put a relay before it; its settings change
//	silence                           all present connections of relays go silent
//	sound REPORT                      no answer and no fact breaks an invariant
//	clean REPORT                      every answer is complete, no request failed
//	refused REPORT CODE               every request was refused with the code
//	each-second REPORT RATIO from MARK DURATION
//	quiet DOMAIN from MARK DURATION   no work started there since
//	ask SERVICE REPORT                one search, with what ran and its explanation
//	explained REPORT STATUS SHARD[=CODE]...  status and missing shards, told alike by explain
//	hedged REPORT SHARD               its explanation tells of hedges that were started
//	hedges-won SERVICE WINS SEARCHES  so many hedges answer first within so many searches
//	within-budget REPORT...           work started since the beginning, for these loads alone
//	latency REPORT                    note p50 and p99; no bound
//	lacks REPORT SERVICE SHARD...     every answer and refusal lists these as missing
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"deploy": deploy, "warm-up": warmUp, "race": race, "ended": ended, "set-service": setService,
		"broker": processAction("broker"), "entry": processAction("entry"),
		"replace": replaceInstance, "platform": platformFault, "upstream": upstreamControl, "load": startLoad, "finish": finishLoad,
		"read": read, "mark": mark, "elapse": elapse, "wait-for": waitFor, "expect": expect,
		"unchanged": change("unchanged", func(before, after float64) bool { return before == after }),
		"grown":     change("grown", func(before, after float64) bool { return after > before }),
		"relay":     startRelay, "silence": silence, "sound": sound, "clean": clean, "refused": refused,
		"each-second": eachSecond, "quiet": quiet,
		"ask": ask, "explained": explained, "hedged": hedged, "lacks": lacks,
		"deploy-apart": deployApart, "latency": latency, "hedges-won": hedgesWon, "within-budget": withinBudget,
	}
	maps.Copy(all, memberCommands())
	result := map[string]func(*testscript.TestScript, bool, []string){"operator": operate}
	for name, run := range all {
		result[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			s := ts.Value(scenarioKey{}).(*scenario)
			if err := run(s, ts, args); err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return result
}

// relaxed gives requests a deadline that a busy machine keeps too. What the
// scenarios prove does not depend on the deadlines of the examples.
var relaxed = []string{"deadline: 110ms\nsoft_deadline: 80ms", "deadline: 2s\nsoft_deadline: 1900ms", "deadline: 1s\n", "deadline: 2s\n"}

func deploy(s *scenario, ts *testscript.TestScript, args []string) error {
	return start(s, ts, args, false)
}

func start(s *scenario, ts *testscript.TestScript, args []string, relays bool) error {
	if len(args) < 1 {
		return errors.New("name of an example is missing")
	}
	dir := filepath.Join(s.dir, "deployment")
	if err := os.Mkdir(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	d, err := deployment.Start(deployment.Config{
		Binaries: binaries, Services: filepath.Join(examples, args[0]), Dir: dir,
		Domains: []string{"split", "trogir", "brac"}, PerDomain: 2,
		Operators: []string{"ana", "ivo"}, Replace: relaxed, Relays: relays,
		Upstream: append([]string{"--service-time=20ms", "--sigma=0.2"}, args[1:]...),
		Distance: s.distance,
	})
	if err != nil {
		return err
	}
	s.deployment, s.words = d, newWords(d.Network(), s.dir)
	ts.Setenv("SERVICES", d.ServicesDir())
	return nil
}

// operate runs wharfctl. What it printed is added to the file session, and can
// be checked with the commands stdout and stderr.
func operate(ts *testscript.TestScript, neg bool, args []string) {
	s := ts.Value(scenarioKey{}).(*scenario)
	if len(args) < 2 {
		ts.Fatalf("usage: operator NAME ARGS...")
	}
	out, err := s.deployment.Operate(args[0], args[1:]...)
	ts.Check(err)
	stdout, stderr := s.words.replace(out.Stdout), s.words.replace(out.Stderr)
	_, _ = io.WriteString(ts.Stdout(), stdout)
	_, _ = io.WriteString(ts.Stderr(), stderr)
	s.note(args[0], args[1:], out)
	if neg != (out.ExitCode != 0) {
		ts.Fatalf("exit code %d\n%s%s", out.ExitCode, stdout, stderr)
	}
}

// sessionLines bounds what a session shows of one output.
const sessionLines = 30

// note adds a command and its output to the file session.
func (s *scenario) note(name string, args []string, out deployment.Output) {
	text := s.words.replace(out.Stdout + out.Stderr)
	if lines := strings.SplitAfter(text, "\n"); len(lines) > sessionLines {
		text = strings.Join(lines[:sessionLines], "") + "(cut)\n"
	}
	_, _ = fmt.Fprintf(s.session, "%s$ wharfctl %s\n%sexit code %d\n", name, s.words.replace(strings.Join(args, " ")), text, out.ExitCode)
}

// race lets two operators publish different settings at the same time. The
// session shows the exit codes in order, as either may win.
func race(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: race NAME NAME")
	}
	var running sync.WaitGroup
	outs := make([]deployment.Output, len(args))
	for i, name := range args {
		dir := filepath.Join(s.dir, name)
		if err := os.CopyFS(dir, os.DirFS(s.deployment.ServicesDir())); err != nil {
			return errors.Trace(err)
		}
		if err := replaceIn(filepath.Join(dir, "dispatch.yaml"), "slots: 3", fmt.Sprintf("slots: %d", 4+i)); err != nil {
			return err
		}
		running.Go(func() {
			outs[i], _ = s.deployment.Operate(name, "publish", dir, "--reason", "change of "+name, "--base", "1")
		})
	}
	running.Wait()
	codes := []int{outs[0].ExitCode, outs[1].ExitCode}
	slices.Sort(codes)
	_, err := fmt.Fprintf(s.session, "two operators publish at once: exit codes %v\n", codes)
	return errors.Trace(err)
}

// ended lets an operator state the end of every process that a takeover waits
// for. Those that are alive are refused.
func ended(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: ended NAME")
	}
	out, err := s.deployment.Operate(args[0], "process", "awaited", "--output=json")
	if err != nil {
		return err
	}
	var awaited []operator.AwaitedProcess
	if err := decode(out.Stdout, &awaited); err != nil {
		return err
	}
	stated := 0
	for _, p := range awaited {
		out, err := s.deployment.Operate(args[0], "process", "ended", p.ID, "--reason", "lost for good")
		if err != nil {
			return err
		}
		if out.ExitCode == 0 {
			stated++
		}
	}
	if stated == 0 {
		return errors.Errorf("no end of %d processes was taken", len(awaited))
	}
	return nil
}

// startRelay puts a relay before a searcher. A publish is needed after it.
func startRelay(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: relay SEARCHER")
	}
	facts, err := s.deployment.Facts()
	if err != nil {
		return err
	}
	searcher, ok := facts.Searchers[args[0]]
	if !ok {
		return errors.Errorf("searcher %q is not known", args[0])
	}
	r, err := relay.NewTCP(searcher.Address)
	if err != nil {
		return err
	}
	s.relays = append(s.relays, r)
	file := filepath.Join(s.deployment.ServicesDir(), searcher.Services[0]+".yaml")
	return replaceIn(file, searcher.Address+",", r.Address()+",")
}

func silence(s *scenario, _ *testscript.TestScript, _ []string) error {
	for _, r := range s.relays {
		r.SilenceExisting()
	}
	return nil
}

func mark(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: mark NAME")
	}
	s.marks[args[0]] = time.Now()
	return nil
}

func (s *scenario) after(name, duration string) (time.Time, error) {
	moment, ok := s.marks[name]
	if !ok {
		return moment, errors.Errorf("mark %q is not set", name)
	}
	d, err := time.ParseDuration(duration)
	return moment.Add(d), errors.Trace(err)
}

// elapse waits for time that is part of what is proved, such as an expired
// lease. It does not wait for a condition; wait-for does.
func elapse(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 || args[1] != "since" {
		return errors.New("usage: elapse DURATION since MARK")
	}
	moment, err := s.after(args[2], args[0])
	if err == nil {
		time.Sleep(time.Until(moment))
	}
	return err
}

// processAction returns the command of one role.
func processAction(role string) command {
	return func(s *scenario, _ *testscript.TestScript, args []string) error {
		if len(args) != 2 {
			return errors.Errorf("usage: %s kill|pause|resume|stop|start INSTANCE", role)
		}
		i := s.deployment.Instance(args[1])
		if i == nil {
			return errors.Errorf("instance %q is not known", args[1])
		}
		p, start := i.Entry, s.deployment.StartEntry
		if role == "broker" {
			p, start = i.Broker, s.deployment.StartBroker
		}
		switch args[0] {
		case "kill":
			p.Kill()
		case "pause":
			p.Signal(syscall.SIGSTOP)
		case "resume":
			p.Signal(syscall.SIGCONT)
		case "stop":
			return p.Stop()
		case "start":
			return start(i)
		default:
			return errors.Errorf("action %q is not known", args[0])
		}
		return nil
	}
}

// replaceInstance puts new processes in the place of an instance, in the order
// that docs/operators.md gives, and waits until every searcher has an owner.
func replaceInstance(s *scenario, ts *testscript.TestScript, args []string) error {
	i := s.deployment.Instance(args[0])
	var stops errgroup.Group
	stops.Go(i.Entry.Stop)
	stops.Go(i.Broker.Stop)
	for _, do := range []func() error{
		stops.Wait,
		func() error { return s.deployment.StartBroker(i) },
		func() error { return s.deployment.StartEntry(i) },
		func() error { return s.deployment.WaitReady(startBound) },
	} {
		if err := do(); err != nil {
			return err
		}
	}
	if err := waitFor(s, ts, []string{startBound.String(), "status", "live", "==", "12"}); err != nil {
		return err
	}
	return waitFor(s, ts, []string{startBound.String(), "status", "held", "==", "120"})
}

// startBound is the longest time until a started instance is known as live.
const startBound = 20 * time.Second

func platformFault(s *scenario, _ *testscript.TestScript, args []string) error {
	fault := map[string]any{}
	number := func() (int, error) {
		if len(args) != 2 {
			return 0, errors.New("number is missing")
		}
		return strconv.Atoi(args[1])
	}
	var err error
	switch args[0] {
	case "down", "up":
		fault["down"] = args[0] == "down"
	case "delay":
		fault["delay_ms"], err = number()
	case "lose-replies":
		fault["lose_replies"], err = number()
	case "stale":
		fault["stale_reads"] = len(args) == 2 && args[1] == "on"
	default:
		return errors.New("usage: platform down|up|delay MS|lose-replies N|stale on|stale off")
	}
	if err != nil {
		return err
	}
	return s.deployment.PlatformFaults(fault)
}

// upstreamControl changes the searchers that a selector matches. The change is
// the field "set" of a control of the stand-in.
func upstreamControl(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: upstream SELECTOR JSON")
	}
	var set map[string]any
	if err := decode(args[1], &set); err != nil {
		return err
	}
	control := map[string]any{"set": set}
	switch selector, name, found := strings.Cut(args[0], "="); {
	case !found:
		control["searcher"] = args[0]
	case selector == "domain":
		control["failure_domain"] = name
	default:
		control[selector] = name
	}
	return s.deployment.UpstreamControl(control)
}

const (
	// longLoad is longer than any scenario; finish ends the load.
	longLoad = 10 * time.Minute
	seed     = 7
)

// mixes are the services of the load by the name of the mix.
var mixes = map[string][]string{
	"searches": {"--search=restoration-desk=0.6", "--search=dispatch=0.4"},
	"bookings": {"--book=order-booking=0.7", "--book=invoicing=0.3", "--repeat-share=0"},
	"all":      {"--search=restoration-desk=0.5", "--search=dispatch=0.3", "--book=order-booking=0.15", "--book=invoicing=0.05", "--repeat-share=0"},
}

func startLoad(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) < 3 || mixes[args[2]] == nil {
		return errors.New("usage: load NAME RATE searches|bookings|all [FLAG...]")
	}
	flags := append([]string{
		"--rate=" + args[1], "--duration=" + longLoad.String(), fmt.Sprintf("--seed=%d", seed),
		"--search-deadline=2s", "--booking-deadline=2s", "--grace=3s",
	}, mixes[args[2]]...)
	l, err := s.deployment.StartLoad("load-"+args[0], append(flags, args[3:]...)...)
	if err == nil {
		s.loads[args[0]] = l
	}
	return err
}

func finishLoad(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 || s.loads[args[0]] == nil {
		return errors.New("usage: finish NAME")
	}
	report, err := s.loads[args[0]].Finish()
	if err != nil {
		return err
	}
	s.reports[args[0]] = report
	return nil
}

// setService replaces text in a file of the service settings.
func setService(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: set-service NAME OLD NEW")
	}
	return replaceIn(filepath.Join(s.deployment.ServicesDir(), args[0]+".yaml"), args[1], args[2])
}

func replaceIn(file, old, changed string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	if !strings.Contains(string(text), old) {
		return errors.Errorf("%s does not contain %q", file, old)
	}
	return errors.Trace(os.WriteFile(file, []byte(strings.ReplaceAll(string(text), old, changed)), 0o644))
}

// warmUp lets the brokers learn latencies and use more than the cold allowance
// of the searchers.
func warmUp(s *scenario, ts *testscript.TestScript, _ []string) error {
	if err := startLoad(s, ts, []string{"warm-up", "60", "all"}); err != nil {
		return err
	}
	if err := waitFor(s, ts, []string{"30s", "facts", "totals/completed", ">=", "4000"}); err != nil {
		return err
	}
	return finishLoad(s, ts, []string{"warm-up"})
}
