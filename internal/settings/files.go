package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// CheckFiles checks that the PEM files in valid settings can be used. The settings
// text is needed for positions. A root that is not empty is prepended to the paths,
// to check the settings of another host. The error gives line, column and remedy
// for each file that the node could not use.
func CheckFiles(text []byte, files TLS, root string) error {
	c := fileChecker{text: text, root: root}
	cert, certRead := c.read("tls.cert", files.Cert)
	key, keyRead := c.read("tls.key", files.Key)
	authorities, authoritiesRead := c.read("tls.ca", files.CA)
	certFound := certRead && c.holdsCertificate("tls.cert", files.Cert, cert)
	if certFound && keyRead {
		if _, err := tls.X509KeyPair(cert, key); err != nil {
			c.addProblem("tls.key", files.Key, "does not fit tls.cert: %v", err)
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

// fileChecker collects an error line for each file that cannot be used.
type fileChecker struct {
	text  []byte
	root  string
	lines []string
}

func (c *fileChecker) read(key, path string) ([]byte, bool) {
	full := path
	if c.root != "" {
		full = filepath.Join(c.root, path)
	}
	content, err := os.ReadFile(full)
	if err != nil {
		c.addProblem(key, path, "cannot be read: %v", err)
	}
	return content, err == nil
}

func (c *fileChecker) holdsCertificate(key, path string, content []byte) bool {
	ok := x509.NewCertPool().AppendCertsFromPEM(content)
	if !ok {
		c.addProblem(key, path, "holds no certificate in PEM form")
	}
	return ok
}

func (c *fileChecker) addProblem(key, path, format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf("%s%s: %q %s; create the files with 'vanillasail keys'",
		position(c.text, key), key, path, fmt.Sprintf(format, args...)))
}
