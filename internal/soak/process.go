package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/internal/relay"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// process is one gateway, which may be started again.
type process struct {
	binary string
	file   string
	log    string
	node   site.Node
	link   *relay.TCP
	// fault is held while the process is killed, paused or stopped: two at once would
	// start it twice, and leave one running.
	fault sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd

	// started and stopped are when the process was started and told to stop last.
	started, stopped time.Time

	// unplanned is until when the process is killed or paused.
	unplanned disturbance
}

// processIP is the address of a gateway, by its number.
func processIP(i int) string { return fmt.Sprintf("127.88.%d.%d", os.Getpid()%250, i+1) }

// newProcess prepares a gateway. All gateways of a deployment serve at the same ports.
func newProcess(binary, dir string, i int, domain string, ports []int, grace int, link *relay.TCP, seeds []string, features bool) (*process, error) {
	ip := processIP(i)
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	p := &process{
		binary: binary, link: link,
		node: site.Node{
			Name: fmt.Sprintf("gateway-%s-%d", domain, i), IP: ip, Domain: domain,
			Callers: at(ports[0]), Ready: at(ports[1]), Directory: at(ports[2]), Exchange: at(ports[3]),
			InternalPort: 18740, Store: link.Address(), Seeds: seeds, StopGrace: grace,
		},
	}
	if features {
		p.node.CanaryShare, p.node.CanarySlack, p.node.RollbackMs = canaryShare, canarySlack, rollbackLimit.Seconds()*1000
		p.node.RevokeMs = int(revokeLimit.Milliseconds())
	}
	p.file = filepath.Join(dir, p.node.Name+".yaml")
	p.log = filepath.Join(dir, p.node.Name+".log")
	return p, errors.Trace(os.WriteFile(p.file, []byte(p.node.File()), 0o644))
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.binary)
	command.Env = append(os.Environ(), "WISTERIAWHARF_NODE_FILE="+p.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Trace(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.started = command, time.Now()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM && !p.stopped.After(p.started) {
		p.stopped = time.Now()
	}
	if p.command != nil {
		_ = p.command.Process.Signal(s) // it may have ended
	}
}

// await waits for the process that runs now to end.
func (p *process) await() {
	p.mu.Lock()
	command := p.command
	p.command = nil
	p.mu.Unlock()
	if command != nil {
		_ = command.Wait() // ended by a signal
	}
}

// lastStop returns when the process was told to stop last, and whether it has not been started
// since.
func (p *process) lastStop() (at time.Time, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped, p.stopped.After(p.started)
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.await()
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.node.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sound reports whether the process was neither killed nor paused since a moment.
func (p *process) sound(since time.Time) bool { return p.unplanned.endedBefore(since) }
