package deployment

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Process is one program that the deployment started.
type Process struct {
	Name string
	// Address is where the program serves, by the program's own line "ready".
	Ready string

	command *exec.Cmd
	done    chan struct{}
	err     error
	log     string
}

// startProcess starts a program whose output goes to a log file in dir. With
// wait it returns once the program has printed a line that starts with "ready".
func startProcess(dir, name, program string, wait bool, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Process{Name: name, command: exec.Command(program, args...), done: make(chan struct{}), log: log.Name()}
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, errors.Annotate(err, name)
	}
	ready := make(chan string, 1)
	var reading sync.WaitGroup
	reading.Add(1)
	go func() {
		defer reading.Done()
		readOutput(out, ready)
	}()
	go func() {
		reading.Wait()
		p.err = p.command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	if !wait {
		return p, nil
	}
	select {
	case p.Ready = <-ready:
		return p, nil
	case <-p.done:
		return nil, errors.Errorf("%s ended before it was ready: %v, see %s", name, p.err, p.log)
	case <-time.After(startTimeout):
		p.Kill()
		return nil, errors.Errorf("%s was not ready after %s, see %s", name, startTimeout, p.log)
	}
}

func readOutput(out io.Reader, ready chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "ready"); ok {
			select {
			case ready <- strings.TrimSpace(rest):
			default:
			}
		}
	}
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// Kill ends the program at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the program to stop and waits for its end. A program that does not
// stop in time is killed and reported.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return errors.Annotatef(p.err, "%s, see %s", p.Name, p.log)
	case <-time.After(stopTimeout):
		p.Kill()
		return errors.Errorf("%s did not stop in %s, see %s", p.Name, stopTimeout, p.log)
	}
}

// Ended reports whether the program has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// clockTicksPerSecond is the unit of processor time in /proc on Linux.
const clockTicksPerSecond = 100

// CPU returns the processor time that the program has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The name in parentheses may hold spaces; the fields after it do not.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	const user, system = 11, 12
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// ResidentBytes returns the memory that the program holds.
func (p *Process) ResidentBytes() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Trace(err)
}
