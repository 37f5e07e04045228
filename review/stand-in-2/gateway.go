package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// program is the gateway as the build line of the deploy file places it.
const program = "target/wharf-gateway"

// Ports of an instance. Each has a loopback address of its own.
const (
	callerPort    = 18226
	readyPort     = 18227
	controlPort   = 18224
	directoryPort = 18225
	internalPort  = 17740
)

// gateway is a gateway that runs as a process.
type gateway struct {
	r         *run
	name, ip  string
	zone      string
	settings  string
	file, out string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// freeIP returns a loopback address on which the ports of an instance are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []int{callerPort, readyPort, controlPort, directoryPort, internalPort, internalPort + 1, internalPort + 2} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

// defaultBounds holds the bounds of the small deployments.
const defaultBounds = `  seed_lag_s: 3
  address_reuse_s: 2
  contact_ms: 4000
  ack_timeout_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  downgrade_slack_ms: 250
  max_stretch_ms: 12000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_budget_extra: 58
  warmup_overage: 1.5
  warmup_slack: 5
  evacuate_ms: 5000
  recover_s: 12
  ttl_max_s: 5
`

// newGateway prepares a gateway. The seeds are control addresses; without any, its own is one.
func (r *run) newGateway(name, zone, storeAddress, bounds string, seeds []string) (*gateway, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	g := &gateway{r: r, name: name, ip: ip, zone: zone}
	if len(seeds) == 0 {
		seeds = []string{g.address(controlPort)}
	}
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, "  - \""+s+"\"")
	}
	g.settings = fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: "viti-levu"
zones:
  suva: "viti-levu"
  nadi: "viti-levu"
  lautoka: "viti-levu"
listen_addrs:
  front: %q
  ready_addr: %q
  control: %q
  directory: %q
internal_port_range: [%d, %d]
seeds:
%s
bootstrap: true
in_fault_budget: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds:
%splatform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, name, ip, zone, g.address(callerPort), g.address(readyPort), g.address(controlPort), g.address(directoryPort),
		internalPort, internalPort+15, strings.Join(quoted, "\n"), bounds, storeAddress)
	g.file = filepath.Join(r.dir, name+".yaml")
	g.out = filepath.Join(r.dir, name+".log")
	r.mu.Lock()
	r.gateways = append(r.gateways, g)
	r.mu.Unlock()
	return g, os.WriteFile(g.file, []byte(g.settings), 0o600)
}

func (g *gateway) address(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }

// start starts the process.
func (g *gateway) start() error {
	out, err := os.OpenFile(g.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	p := exec.Command(program)
	p.Env = append(os.Environ(), "WISTERIAWHARF_NODE_FILE="+g.file)
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.process, g.ended = p, ended
	g.mu.Unlock()
	go func() {
		err := p.Wait()
		g.r.log("gateway %s ended: %v", g.name, err)
		close(ended)
	}()
	return nil
}

// kill ends the process and waits for that.
func (g *gateway) kill() {
	g.mu.Lock()
	p, ended := g.process, g.ended
	g.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Kill() // it may have ended
	<-ended
}

// awaitReady waits until the instance is ready.
func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.address(readyPort) + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.r.log("gateway %s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.name)
}
