package settings

import "time"

// Process is the settings file of one daemon.
type Process struct {
	// ID names the instance. The process adds a random suffix, so that each
	// start is an incarnation of its own.
	ID            string `yaml:"id"`
	FailureDomain string `yaml:"failure_domain"`
	CallerAddress string `yaml:"caller_address"`
	PeerAddress   string `yaml:"peer_address"`
	// PeerListen is where the process itself listens for peers. It is PeerAddress
	// unless something between forwards that address to it.
	PeerListen      string        `yaml:"peer_listen_address"`
	OperatorAddress string        `yaml:"operator_address"`
	PlatformAddress string        `yaml:"platform_address"`
	Seeds           []string      `yaml:"seeds"`
	Certificate     string        `yaml:"certificate"`
	Key             string        `yaml:"key"`
	CA              string        `yaml:"ca"`
	LogLevel        string        `yaml:"log_level"`
	LogFormat       string        `yaml:"log_format"`
	AddressLifetime time.Duration `yaml:"address_lifetime"`
	StopTimeout     time.Duration `yaml:"stop_timeout"`
	// CallerListen is where an entry itself listens for callers. It is
	// CallerAddress unless something between forwards that address to it.
	CallerListen string `yaml:"caller_listen_address"`
}
