package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// graceSeconds is grace_s: the time from SIGTERM to SIGKILL.
const graceSeconds = 6

// gateway is a process of wharf-gateway and the addresses that it serves.
type gateway struct {
	name, zone, ip string
	front, ready   string
	directory      string
	file           string
	log            *os.File
	process        *exec.Cmd
	ended          chan struct{}
}

// deployment is a small deployment of gateways before a store.
type deployment struct {
	folder   string
	store    *store
	base     string
	gateways []*gateway
}

// startDeployment starts a store and one gateway for each of the zones.
func startDeployment(zones []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, store: newStore(), base: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))}
	listener, err := net.Listen("tcp", d.base+"1:0")
	if err != nil {
		return d, err
	}
	go func() { _ = http.Serve(listener, d.store) }()
	first, err := d.freePorts(len(zones))
	if err != nil {
		return d, err
	}
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s%d", d.base, 10+i)}
		g.front = fmt.Sprintf("%s:%d", g.ip, first)
		g.ready = fmt.Sprintf("%s:%d", g.ip, first+1)
		g.directory = fmt.Sprintf("%s:%d", g.ip, first+2)
		g.file = filepath.Join(folder, g.name+".yaml")
		d.gateways = append(d.gateways, g)
	}
	for _, g := range d.gateways {
		text := settings(g, first, listener.Addr().String(), d.gateways)
		if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
			return d, err
		}
		if err := g.start(folder); err != nil {
			return d, err
		}
	}
	return d, nil
}

// freePorts returns the first of several ports that are free at the addresses of n gateways.
func (d *deployment) freePorts(n int) (int, error) {
	for range 100 {
		first := 20000 + rand.IntN(10000)
		if d.portsFree(n, first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (d *deployment) portsFree(n, first int) bool {
	for i := range n {
		for port := first; port < first+6; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.base, 10+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns a settings file as the platform writes it.
func settings(g *gateway, first int, storeAddress string, all []*gateway) string {
	text := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: "area"
zones: {a: "area", b: "area", c: "area"}
listen_addrs: {front: %q, ready_addr: %q, directory: %q, control: "%s:%d"}
internal_port_range: [%d, %d]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, address_reuse_s: 2, contact_ms: 4000, ack_timeout_ms: 5000, catch_up_s: 4, drain_ms: 3000,
  grace_s: %d, loss_slack_ms: 200, config_apply_ms: 3000, downgrade_slack_ms: 250, max_stretch_ms: 12000,
  retry_budget_ratio: 0.2, retry_window_s: 10, retry_budget_extra: 52, warmup_overage: 1.5, warmup_slack: 5,
  evacuate_ms: 5000, recover_s: 12, ttl_max_s: 5}
platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
seeds:
`, g.name, g.ip, g.zone, g.front, g.ready, g.directory, g.ip, first+3, first+4, first+5, graceSeconds, storeAddress)
	for _, s := range all[:min(len(all), 3)] {
		text += fmt.Sprintf("  - \"%s:%d\"\n", s.ip, first+3)
	}
	return text
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(folder string) error {
	var err error
	if g.log, err = os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	g.process = exec.Command("target/wharf-gateway")
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "WISTERIAWHARF_NODE_FILE=" + g.file}
	g.process.Stdout, g.process.Stderr = g.log, g.log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.ended = make(chan struct{})
	if err := g.process.Start(); err != nil {
		return err
	}
	process, ended := g.process, g.ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (g *gateway) stop() {
	_ = g.process.Process.Signal(syscall.SIGTERM)
	process, ended := g.process, g.ended
	go func() {
		select {
		case <-ended:
		case <-time.After(graceSeconds * time.Second):
			_ = process.Process.Kill()
		}
	}()
}

// waitReady waits until all gateways answer their readiness checks with 200.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range d.gateways {
			if isReady(g) {
				ready++
			}
		}
		if ready == len(d.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}

func isReady(g *gateway) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end ends all processes and removes the folder.
func (d *deployment) end() {
	for _, g := range d.gateways {
		if g.process != nil && g.process.Process != nil {
			_ = g.process.Process.Kill()
			<-g.ended
		}
	}
	_ = os.RemoveAll(d.folder)
}
