//go:build review

// Command stand-in-3 plays the cases of review/11 and following: it starts gateways as processes
// before stand-ins of the platform, of searchers and of callers.
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

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// bed is a small deployment: a store, searchers and gateways.
type bed struct {
	store    *site.Store
	server   *http.Server
	ledger   *site.Ledger
	gateways []*gatewayProcess
	dir      string
	record   *os.File
	mu       sync.Mutex
	began    time.Time
}

// gatewayProcess is a gateway that runs as a process.
type gatewayProcess struct {
	node    site.Node
	file    string
	command *exec.Cmd
	ended   chan struct{}
}

// newBed starts the store. The record of the run is written to a file.
func newBed(record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bed{store: site.NewStore(), ledger: &site.Ledger{}, dir: dir, record: f, began: time.Now()}
	b.server = &http.Server{Handler: b.store, Addr: listener.Addr().String()}
	go func() { _ = b.server.Serve(listener) }() // ends with close
	return b, nil
}

// note writes a line of the record.
func (b *bed) note(format string, arguments ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f ", time.Since(b.began).Seconds())
	_, _ = fmt.Fprintf(b.record, format+"\n", arguments...)
}

// machine is the part of a settings file that tells what the machine of a small deployment has.
const machine = "limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}\n"

// startGateway starts a gateway in a zone. It waits until the gateway is ready.
func (b *bed) startGateway(zone string) (*gatewayProcess, error) {
	ip := fmt.Sprintf("127.89.%d.%d", os.Getpid()%250, len(b.gateways)+1)
	ports, err := site.FreePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	g := &gatewayProcess{node: site.Node{
		Name: fmt.Sprintf("gateway-%d", len(b.gateways)+1), IP: ip, Domain: zone,
		Callers: at(ports[0]), Ready: at(ports[1]), Directory: at(ports[2]), Exchange: at(ports[3]),
		Store: b.server.Addr, StopGrace: 6,
	}}
	if g.node.InternalPort, err = freeRange(ip); err != nil {
		return nil, err
	}
	g.file = filepath.Join(b.dir, g.node.Name+".yaml")
	if err := os.WriteFile(g.file, []byte(g.node.File()+machine), 0o644); err != nil {
		return nil, err
	}
	if err := b.run(g); err != nil {
		return nil, err
	}
	b.gateways = append(b.gateways, g)
	for range 200 {
		if g.ready() {
			return g, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s is not ready", g.node.Name)
}

// freeRange returns the first of three ports in a row that are free for TCP and UDP.
func freeRange(ip string) (int, error) {
	for first := 18740; first < 28740; first += 10 {
		free := true
		for port := first; port < first+3; port++ {
			address := net.JoinHostPort(ip, strconv.Itoa(port))
			l, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", address)
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// run starts the process of a gateway.
func (b *bed) run(g *gatewayProcess) error {
	log, err := os.OpenFile(filepath.Join(b.dir, g.node.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/wharf-gateway")
	command.Env = append(os.Environ(), "WISTERIAWHARF_NODE_FILE="+g.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	g.command, g.ended = command, make(chan struct{})
	ended := g.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (g *gatewayProcess) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// ready reports whether the gateway answers its readiness check with 200.
func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.node.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and the store.
func (b *bed) close() {
	for _, g := range b.gateways {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-g.ended
	}
	_ = b.server.Close()
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
