package deployment

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
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
