package identity

import (
	"crypto/x509"

	"github.com/juju/errors"
)

// Self returns the common name and role in the identity's own certificate.
func (i *Identity) Self() (string, Role, error) {
	if len(i.pair.Certificate) == 0 {
		return "", "", errors.New("identity has no certificate")
	}
	cert, err := x509.ParseCertificate(i.pair.Certificate[0])
	if err != nil {
		return "", "", errors.Annotate(err, "own certificate")
	}
	var role Role
	if units := cert.Subject.OrganizationalUnit; len(units) > 0 {
		role = Role(units[0])
	}
	return cert.Subject.CommonName, role, nil
}
