// Package deployment starts a whole deployment of wisteriawharf with stand-ins
// on loopback addresses, for the demonstration, tests and measurements.
package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/internal/relay"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 40 * time.Second
)

// Config describes a Deployment.
type Config struct {
	// Binaries is the directory of the built programs.
	Binaries string
	// Services is the directory of service settings. Their searchers are moved
	// to loopback addresses of this deployment alone.
	Services string
	// Dir receives settings, certificates and logs.
	Dir string
	// Domains names the failure domains.
	Domains []string
	// PerDomain is the number of instances of each failure domain.
	PerDomain int
	// Upstream holds further flags of the upstream stand-in.
	Upstream []string
	// AddressLifetime is the lifetime of address answers; 2 s if zero.
	AddressLifetime time.Duration
	// Operators names the operators that get a certificate; "operator" if empty.
	Operators []string
	// Relays puts a relay before the peer address of each process and before the
	// platform for each instance.
	Relays bool
	// Replace holds pairs of old and new text, applied to the service settings.
	Replace []string
	// Distance is the delay of traffic between processes and to callers.
	Distance Distance
}

// Instance is one instance: an entry and a broker.
type Instance struct {
	Name   string
	Domain string
	IP     string
	Entry  *Process
	Broker *Process
	// Peers are the relays before the peer addresses of entry and broker, and
	// Platform that before the platform, if there are relays.
	Peers    []*relay.UDP
	Platform *relay.TCP
}

// Deployment is a running deployment.
type Deployment struct {
	config    Config
	network   string // first three bytes of all addresses
	lock      net.Listener
	Platform  *Process
	Upstreams *Process
	Instances []*Instance

	platformAddress string
	platformControl string
	upstreamControl string
	distant         distant
}

// Ports are the same on each instance, which has an IP address of its own.
const (
	callerPort         = 7001
	entryPeerPort      = 7101
	brokerPeerPort     = 7102
	entryOperatorPort  = 7201
	brokerOperatorPort = 7202
	platformPort       = 8000
	platformControl    = 8001
	upstreamControl    = 8002
	lockPort           = 8003

	// behindRelay is what is added to the port of a process behind a relay.
	behindRelay = 10
)

// Start starts everything and returns once the instances serve the first
// published settings. On an error everything that was started is stopped.
func Start(c Config) (*Deployment, error) {
	if c.AddressLifetime == 0 {
		c.AddressLifetime = 2 * time.Second
	}
	if len(c.Operators) == 0 {
		c.Operators = []string{"operator"}
	}
	d := &Deployment{config: c}
	if err := d.start(); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	steps := []func() error{
		d.reserveNetwork, d.writeServices, d.makeCertificates,
		d.startPlatform, d.startUpstreams, d.publish, d.startRelays, d.startInstances,
		func() error { return d.WaitReady(startTimeout) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// reserveNetwork takes a block of loopback addresses that no other deployment
// on this machine uses, by listening on one address of it.
func (d *Deployment) reserveNetwork() error {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, lockPort))
		if err == nil {
			d.network, d.lock = network, lock
			return nil
		}
	}
	return errors.New("no free block of loopback addresses was found")
}

func (d *Deployment) path(name string) string { return filepath.Join(d.config.Dir, name) }

// ServicesDir is the directory of the deployment's service settings.
func (d *Deployment) ServicesDir() string { return d.path("services") }

func (d *Deployment) writeServices() error {
	files, err := filepath.Glob(filepath.Join(d.config.Services, "*.yaml"))
	if err != nil {
		return errors.Trace(err)
	}
	if len(files) == 0 {
		return errors.Errorf("no service settings in %q", d.config.Services)
	}
	if err := os.MkdirAll(d.ServicesDir(), 0o755); err != nil {
		return errors.Trace(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Trace(err)
		}
		moved := strings.ReplaceAll(string(text), "127.0.0.1:", d.network+".1:")
		moved = strings.NewReplacer(d.config.Replace...).Replace(moved)
		if err := os.WriteFile(filepath.Join(d.ServicesDir(), filepath.Base(file)), []byte(moved), 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (d *Deployment) makeCertificates() error {
	args := []string{"dev-ca"}
	for _, name := range d.config.Operators {
		args = append(args, "--operator="+name)
	}
	d.Instances = nil
	for _, domain := range d.config.Domains {
		for i := range d.config.PerDomain {
			name := fmt.Sprintf("%s-%d", domain, i)
			ip := fmt.Sprintf("%s.%d", d.network, 10+len(d.Instances))
			d.Instances = append(d.Instances, &Instance{Name: name, Domain: domain, IP: ip})
			args = append(args, "--instance="+name)
		}
	}
	_, err := d.run("wharfctl", append(args, d.path("certificates"))...)
	return err
}

func (d *Deployment) startPlatform() error {
	d.platformAddress = fmt.Sprintf("%s.1:%d", d.network, platformPort)
	d.platformControl = fmt.Sprintf("%s.1:%d", d.network, platformControl)
	p, err := startProcess(d.config.Dir, "platform", d.binary("wharf-standin"), true,
		"platform", "--address="+d.platformAddress, "--control="+d.platformControl)
	d.Platform = p
	return err
}

func (d *Deployment) startUpstreams() error {
	d.upstreamControl = fmt.Sprintf("%s.1:%d", d.network, upstreamControl)
	args := append([]string{"upstream", "--settings=" + d.ServicesDir(), "--control=" + d.upstreamControl}, d.config.Upstream...)
	p, err := startProcess(d.config.Dir, "upstream", d.binary("wharf-standin"), true, args...)
	d.Upstreams = p
	return err
}

func (d *Deployment) publish() error {
	_, err := d.Wharfctl("publish", d.ServicesDir(), "--reason=first settings")
	return err
}

func (d *Deployment) startInstances() error {
	if err := d.startDistance(); err != nil {
		return err
	}
	for _, i := range d.Instances {
		if err := d.StartBroker(i); err != nil {
			return err
		}
		if err := d.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartBroker starts the broker of an instance, also again after its end.
func (d *Deployment) StartBroker(i *Instance) error {
	p, err := d.startDaemon(i, "broker", brokerPeerPort, brokerOperatorPort)
	i.Broker = p
	return err
}

// StartEntry starts the entry of an instance, also again after its end.
func (d *Deployment) StartEntry(i *Instance) error {
	p, err := d.startDaemon(i, "entry", entryPeerPort, entryOperatorPort)
	i.Entry = p
	return err
}

func (d *Deployment) startDaemon(i *Instance, role string, peerPort, operatorPort int) (*Process, error) {
	name := role + "-" + i.Name
	file := d.path(name + ".yaml")
	if err := os.WriteFile(file, []byte(d.processSettings(i, role, peerPort, operatorPort)), 0o644); err != nil {
		return nil, errors.Trace(err)
	}
	return startProcess(d.config.Dir, name, d.binary("wharf-"+role), false, "--settings="+file)
}

func (d *Deployment) processSettings(i *Instance, role string, peerPort, operatorPort int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "id: %s-%s\nfailure_domain: %s\n", role, i.Name, i.Domain)
	if role == "entry" {
		fmt.Fprintf(&text, "caller_address: %s:%d\naddress_lifetime: %s\n", i.IP, callerPort, d.config.AddressLifetime)
		if d.config.Relays {
			fmt.Fprintf(&text, "caller_listen_address: %s\n", i.callerListen())
		}
	}
	fmt.Fprintf(&text, "peer_address: %s:%d\noperator_address: %s:%d\n", i.IP, peerPort, i.IP, operatorPort)
	if d.config.Relays {
		fmt.Fprintf(&text, "peer_listen_address: %s:%d\nplatform_address: %s\n", i.IP, peerPort+behindRelay, i.Platform.Address())
	} else {
		fmt.Fprintf(&text, "platform_address: %s\n", d.platformAddress)
	}
	fmt.Fprintf(&text, "certificate: %s\nkey: %s\nca: %s\n", d.path("certificates/"+i.Name+".pem"),
		d.path("certificates/"+i.Name+"-key.pem"), d.path("certificates/ca.pem"))
	fmt.Fprintf(&text, "log_level: info\nlog_format: text\nstop_timeout: 30s\nseeds:\n")
	for _, other := range d.Instances {
		if other != i || role == "entry" {
			fmt.Fprintf(&text, "  - %s:%d\n", other.IP, brokerPeerPort)
		}
	}
	return text.String()
}

// EntryAddress is where the entry of an instance takes requests of callers.
func (i *Instance) EntryAddress() string { return fmt.Sprintf("%s:%d", i.IP, callerPort) }

// BrokerOperatorAddress is the operator port of an instance's broker.
func (i *Instance) BrokerOperatorAddress() string {
	return fmt.Sprintf("%s:%d", i.IP, brokerOperatorPort)
}

// EntryOperatorAddress is the operator port of an instance's entry.
func (i *Instance) EntryOperatorAddress() string {
	return fmt.Sprintf("%s:%d", i.IP, entryOperatorPort)
}

// Network is the beginning of all addresses of the deployment: three numbers
// and a dot.
func (d *Deployment) Network() string { return d.network + "." }

// Instance returns the instance with the name, or nil.
func (d *Deployment) Instance(name string) *Instance {
	for _, i := range d.Instances {
		if i.Name == name {
			return i
		}
	}
	return nil
}

// Stop stops the instances as a planned stop, then the stand-ins. It returns the
// first program that did not end as it should.
func (d *Deployment) Stop() error {
	var stops []func() error
	for _, i := range d.Instances {
		stops = append(stops, stopper(i.Entry), stopper(i.Broker))
	}
	errs := make(chan error, len(stops))
	for _, stop := range stops {
		go func() { errs <- stop() }()
	}
	var first error
	for range stops {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	for _, i := range d.Instances {
		i.closeRelays()
	}
	for _, p := range []*Process{d.Upstreams, d.Platform} {
		if err := stopper(p)(); err != nil && first == nil {
			first = err
		}
	}
	d.closeDistance()
	_ = d.lock.Close()
	return first
}

func stopper(p *Process) func() error {
	return func() error {
		if p == nil || p.Ended() {
			return nil
		}
		return p.Stop()
	}
}

// Kill ends every program at once.
func (d *Deployment) Kill() {
	processes := []*Process{d.Upstreams, d.Platform}
	for _, i := range d.Instances {
		processes = append(processes, i.Entry, i.Broker)
		i.closeRelays()
	}
	for _, p := range processes {
		if p != nil && !p.Ended() {
			p.Kill()
		}
	}
	d.closeDistance()
	if d.lock != nil {
		_ = d.lock.Close()
	}
}
