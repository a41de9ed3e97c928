package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// CheckFiles reads the PEM files that valid settings name. The text is that of
// the settings. A root that is not empty stands in front of the paths, for
// settings of another host. Its error names line, column and remedy for each
// file that the node could not use.
func CheckFiles(text []byte, files TLS, root string) error {
	c := fileCheck{text: text, root: root}
	cert, certRead := c.read("tls.cert", files.Cert)
	key, keyRead := c.read("tls.key", files.Key)
	authorities, authoritiesRead := c.read("tls.ca", files.CA)
	certFound := certRead && c.holdsCertificate("tls.cert", files.Cert, cert)
	if certFound && keyRead {
		if _, err := tls.X509KeyPair(cert, key); err != nil {
			c.problem("tls.key", files.Key, "does not fit tls.cert: %v", err)
		}
	}
	if authoritiesRead {
		c.holdsCertificate("tls.ca", files.CA, authorities)
	}
	if len(c.lines) == 0 {
		return nil
	}
	return invalid(strings.Join(c.lines, "\n"))
}

// fileCheck collects a line for each file that cannot be used.
type fileCheck struct {
	text  []byte
	root  string
	lines []string
}

func (c *fileCheck) read(key, path string) ([]byte, bool) {
	full := path
	if c.root != "" {
		full = filepath.Join(c.root, path)
	}
	content, err := os.ReadFile(full)
	if err != nil {
		c.problem(key, path, "cannot be read: %v", err)
	}
	return content, err == nil
}

func (c *fileCheck) holdsCertificate(key, path string, content []byte) bool {
	ok := x509.NewCertPool().AppendCertsFromPEM(content)
	if !ok {
		c.problem(key, path, "holds no certificate in PEM form")
	}
	return ok
}

func (c *fileCheck) problem(key, path, format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf("%s%s: %q %s; create the files with 'vanillasail keys'",
		position(c.text, key), key, path, fmt.Sprintf(format, args...)))
}
