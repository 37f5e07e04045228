package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// options apply to all commands. Flags win over the settings file.
type options struct {
	Config            string        `long:"config" env:"WHARFCTL_CONFIG" value-name:"FILE" description:"YAML file with operator settings (docs/settings.md); flags win over it"`
	Platform          string        `long:"platform" value-name:"IP:PORT" description:"address of the platform's object service"`
	OperatorAddresses []string      `long:"operator-address" value-name:"IP:PORT" description:"operator port of an instance; may be repeated"`
	Certificate       string        `long:"certificate" value-name:"FILE" description:"operator certificate"`
	Key               string        `long:"key" value-name:"FILE" description:"key of the certificate"`
	CA                string        `long:"ca" value-name:"FILE" description:"certificate authority of the deployment"`
	Timeout           time.Duration `long:"timeout" value-name:"DURATION" description:"longest wait for one answer of the platform or an instance (default: 2s)"`
	Output            string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

// storeOpener connects to the platform.
type storeOpener func(address string, timeout time.Duration) (objectstore.Store, error)

// openStore returns the HTTP adapter of the platform.
func openStore(address string, timeout time.Duration) (objectstore.Store, error) {
	return objectstore.NewHTTP(objectstore.HTTPConfig{Address: address, Timeout: timeout, Registry: prometheus.NewRegistry()})
}

// resolve joins flags and settings file.
func (o options) resolve() (settings.Operator, error) {
	text := "{}"
	if o.Config != "" {
		content, err := os.ReadFile(o.Config)
		if err != nil {
			return settings.Operator{}, errors.Annotate(err, "operator settings")
		}
		text = string(content)
	}
	file, err := settings.ParseOperator(o.Config, text)
	if err != nil {
		return settings.Operator{}, err
	}
	override(&file.PlatformAddress, o.Platform)
	override(&file.Certificate, o.Certificate)
	override(&file.Key, o.Key)
	override(&file.CA, o.CA)
	override(&file.Timeout, o.Timeout)
	if len(o.OperatorAddresses) > 0 {
		file.OperatorAddresses = o.OperatorAddresses
	}
	return *file, checkFlags(o)
}

// checkFlags refuses what the settings file would refuse as well.
func checkFlags(o options) error {
	addresses := o.OperatorAddresses
	if o.Platform != "" {
		addresses = append([]string{o.Platform}, addresses...)
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.Errorf("address %q is not IP:port; host names are not used", a)
		}
	}
	if o.Timeout < 0 {
		return errors.Errorf("timeout %s is negative", o.Timeout)
	}
	return nil
}

func override[T comparable](to *T, flag T) {
	var zero T
	if flag != zero {
		*to = flag
	}
}

// store connects to the platform of the operator settings.
func (a *app) store() (objectstore.Store, error) {
	s, err := a.options.resolve()
	if err != nil {
		return nil, err
	}
	if s.PlatformAddress == "" {
		return nil, errors.New("platform address is missing: give --platform or platform_address in the settings file")
	}
	return a.env.openStore(s.PlatformAddress, s.Timeout)
}

// operatorIdentity loads the certificate and refuses one of another role.
func (a *app) operatorIdentity() (*identity.Identity, string, error) {
	s, err := a.options.resolve()
	if err != nil {
		return nil, "", err
	}
	if s.Certificate == "" || s.Key == "" || s.CA == "" {
		return nil, "", errors.New("certificate, key or authority is missing: give --certificate, --key and --ca, or name them in the settings file")
	}
	id, err := identity.Load(identity.Files{Certificate: s.Certificate, Key: s.Key, CA: s.CA})
	if err != nil {
		return nil, "", err
	}
	name, role, err := id.Self()
	if err != nil {
		return nil, "", err
	}
	if role != identity.RoleOperator {
		return nil, "", result.NotRun(result.NotOperator, "%q has role %q", name, role)
	}
	return id, name, nil
}

// commandTimeouts is how many single timeouts a command may take in all.
const commandTimeouts = 10

// context bounds a whole command.
func (a *app) context() (context.Context, context.CancelFunc, error) {
	s, err := a.options.resolve()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeouts*s.Timeout)
	return ctx, cancel, nil
}
