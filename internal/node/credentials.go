package node

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const protocolName = "vanillasail/1"

// Credentials hold the certificate of this node and the certificate authorities that
// it trusts. Replace swaps both at run time: requests in flight complete on their
// connections, later ones use new connections with the new certificate, and peers
// whose certificate is no longer trusted are refused. Trust both the old and the new
// authority during a rotation.
type Credentials struct {
	// current is nil until the first Replace.
	current atomic.Pointer[keyPair]
	// generation counts the replacements.
	generation atomic.Uint64
}

type keyPair struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Replace parses the PEM blocks and uses them for all later connections.
func (c *Credentials) Replace(cert, key, authorities []byte) error {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return eris.Wrap(err, "node certificate or key is not valid PEM; create both with 'vanillasail keys'")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return eris.New("node authority file holds no certificate; create it with 'vanillasail keys'")
	}
	c.current.Store(&keyPair{cert: pair, pool: pool})
	c.generation.Add(1)
	return nil
}

func (c *Credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.certificate()
		},
		ClientAuth: tls.RequireAnyClientCert,
		// Nodes are authenticated by the cluster's certificate authority and not by
		// host name, so VerifyConnection replaces the default check.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *Credentials) certificate() (*tls.Certificate, error) {
	pair := c.current.Load()
	if pair == nil {
		return nil, eris.New("node has no certificate; set tls.cert and tls.key")
	}
	return &pair.cert, nil
}

func (c *Credentials) verify(state tls.ConnectionState) error {
	pair := c.current.Load()
	if pair == nil || len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate; issue one from the cluster's authority")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pair.pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrap(err, "peer certificate is not from a trusted authority; add its authority to tls.ca")
}
