package site

import (
	"fmt"
	"net"

	"github.com/juju/errors"
)

// Node describes an instance in a settings file as the platform writes it.
type Node struct {
	Name, IP, Domain string
	// Callers, Ready, Directory and Exchange are addresses that the instance serves.
	Callers, Ready, Directory, Exchange string
	// InternalPort is the first port for traffic between instances.
	InternalPort int
	Store        string
	Seeds        []string
	// StopGrace is the time from SIGTERM to SIGKILL in seconds. Zero means GraceSeconds.
	StopGrace int
	// CanaryShare, CanarySlack and RollbackMs are the bounds of roll-outs. A CanaryShare of zero
	// leaves them out.
	CanaryShare, CanarySlack, RollbackMs float64
	// RevokeMs demands strict revocation of API keys within this time. Zero means that it is not demanded.
	RevokeMs int
}

// GraceSeconds is the usual time from SIGTERM to SIGKILL in the settings file.
const GraceSeconds = 3

// File returns the text of the settings file.
func (n Node) File() string {
	grace := n.StopGrace
	if grace == 0 {
		grace = GraceSeconds
	}
	rollouts := ""
	if n.CanaryShare > 0 {
		rollouts = fmt.Sprintf("  canary_share: %g\n  canary_slack: %g\n  rollback_ms: %g\n", n.CanaryShare, n.CanarySlack, n.RollbackMs)
	}
	text := fmt.Sprintf(`node_name: %q
ip: %q
zone: %q
region: "r"
zones: {a: "r", b: "r", c: "r"}
listen_addrs: {front: %q, ready_addr: %q, directory: %q, control: %q}
internal_port_range: [%d, %d]
heartbeat_ms: 1000
bounds:
  drain_ms: 3000
  config_apply_ms: 3000
  grace_s: %d
  evacuate_ms: 5000
  retry_budget_ratio: 0.2
  retry_budget_extra: 50
  retry_window_s: 10
  warmup_overage: 1.5
  warmup_slack: 5
  ttl_max_s: 2
  strict_revocation: %t
  revoke_ms: %d
  quota_window_s: 5
  quota_overage: 0.1
  quota_slack: 20
%splatform: {address: %q}
seeds:
`, n.Name, n.IP, n.Domain, n.Callers, n.Ready, n.Directory, n.Exchange, n.InternalPort, n.InternalPort+9, grace, n.RevokeMs > 0, n.RevokeMs, rollouts, n.Store)
	for _, s := range n.Seeds {
		text += fmt.Sprintf("  - %q\n", s)
	}
	return text
}

// FreePorts returns ports that are free at an IP address for now.
func FreePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = l.Close() }() // all are held until the last is known
		address, ok := l.Addr().(*net.TCPAddr)
		if !ok {
			return nil, errors.Errorf("%s is no TCP address", l.Addr())
		}
		ports = append(ports, address.Port)
	}
	return ports, nil
}

// Route is a route of a configuration, with either Service or Shards.
type Route struct {
	Prefix     string
	Service    string
	Shards     []string
	Idempotent bool
	TargetMs   int
}

// Host is the host of all routes.
const Host = "a.example"

// Configuration returns the content of a configuration object.
func Configuration(version int, services []string, routes []Route) map[string]any {
	var listed, named []any
	for i, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		body := map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": Host, "path_prefix": r.Prefix, "route_type": kind,
			"timeout_ms": 3000, "target_latency_ms": r.TargetMs, "attempts": 2, "priority": 1,
		}
		if len(r.Shards) > 0 {
			body["gather"], body["top_k"], body["min_shard_share"] = r.Shards, TopK, MinShare
		} else {
			body["backend"] = r.Service
		}
		listed = append(listed, body)
	}
	for _, s := range services {
		named = append(named, map[string]any{"name": s, "health_path": "/health", "max_connections": 60})
	}
	return map[string]any{
		"version": version, "routes": listed, "services": named,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 5000},
	}
}

// TopK and MinShare are those of all routes with shards.
const (
	TopK     = 6
	MinShare = 0.7
)
