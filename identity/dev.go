package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// devValidity is short, so that certificates made for a test cannot end up as
// those of a deployment for long.
const devValidity = 30 * 24 * time.Hour

// DevCA is a certificate authority for tests and demonstrations.
type DevCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewDevCA creates an authority and writes its certificate to dir/ca.pem. The
// authority's key is kept in memory only.
func NewDevCA(dir string) (*DevCA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "wisteriawharf development CA"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(devValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", der); err != nil {
		return nil, err
	}
	return &DevCA{dir: dir, cert: cert, key: key}, nil
}

// Issue writes name.pem and name-key.pem to the authority's directory and
// returns their paths. The certificate serves both ends of a connection.
func (ca *DevCA) Issue(name string, role Role) (Files, error) {
	files := Files{
		Certificate: filepath.Join(ca.dir, name+".pem"),
		Key:         filepath.Join(ca.dir, name+"-key.pem"),
		CA:          filepath.Join(ca.dir, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, errors.Trace(err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return files, errors.Trace(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(devValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return files, errors.Trace(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, errors.Trace(err)
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "EC PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Annotatef(os.WriteFile(path, block, 0o600), "write %q", path)
}
