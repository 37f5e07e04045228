// Package identity holds the certificates by which processes and operators
// recognise each other.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// Role is the part that the owner of a certificate plays. It stands in the
// certificate's organizational unit.
type Role string

// Instances talk to each other; operators drive the operator port.
const (
	RoleInstance Role = "instance"
	RoleOperator Role = "operator"
)

// Files names the PEM files of a process: its certificate, key and the
// authority that both sides trust.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// Load reads the files. The error names the file that cannot be used.
func Load(f Files) (*Identity, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Annotatef(err, "certificate %q with key %q", f.Certificate, f.Key)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Annotate(err, "certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("certificate authority %q holds no certificate", f.CA)
	}
	return &Identity{pair: pair, pool: pool}, nil
}

// Identity is a loaded certificate with the authority it trusts.
type Identity struct {
	pair tls.Certificate
	pool *x509.CertPool
}

// Server returns the TLS settings of a listener that admits only peers whose
// certificate carries one of the roles.
func (i *Identity) Server(protocols []string, roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{i.pair},
		ClientCAs:        i.pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		NextProtos:       protocols,
		VerifyConnection: requireRole(roles),
	}
}

// Client returns the TLS settings of a dialer that connects only to instances.
// The name of the server is not checked, because instances are known by IP
// number and are replaced at any time; the authority and the role are.
func (i *Identity) Client(protocols []string) *tls.Config {
	check := requireRole([]Role{RoleInstance})
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{i.pair},
		NextProtos:         protocols,
		InsecureSkipVerify: true, // VerifyConnection below checks the chain.
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := verifyChain(s, i.pool); err != nil {
				return err
			}
			return check(s)
		},
	}
}

// Name returns the common name and role in a verified connection's
// certificate. It reports false if the peer sent none.
func Name(s tls.ConnectionState) (string, Role, bool) {
	if len(s.PeerCertificates) == 0 {
		return "", "", false
	}
	subject := s.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) == 0 {
		return subject.CommonName, "", true
	}
	return subject.CommonName, Role(subject.OrganizationalUnit[0]), true
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Annotate(err, "peer certificate")
}

func requireRole(roles []Role) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		name, role, ok := Name(s)
		if !ok {
			return errors.New("peer sent no certificate")
		}
		for _, r := range roles {
			if r == role {
				return nil
			}
		}
		return errors.Errorf("certificate of %q has role %q, which is not allowed here", name, role)
	}
}
