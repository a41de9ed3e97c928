package node

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// Authority is the certificate authority of one cluster.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// CertPEM is the authority's certificate, the content of tls.ca.
	CertPEM []byte
}

// NewAuthority creates an authority with a new key and a self-signed certificate.
func NewAuthority(name string, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate authority key")
	}
	template := certTemplate(name, validity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse authority certificate")
	}
	return &Authority{cert: cert, key: key, CertPEM: pemBlock("CERTIFICATE", der)}, nil
}

// Issue creates a key pair for a node and returns its certificate and private key as
// PEM.
func (a *Authority) Issue(name string, validity time.Duration) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate node key")
	}
	template := certTemplate(name, validity)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "create node certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode node key")
	}
	return pemBlock("CERTIFICATE", der), pemBlock("EC PRIVATE KEY", keyDER), nil
}

func certTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
	}
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
