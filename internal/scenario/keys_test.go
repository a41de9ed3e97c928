package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
)

const reloadMessage = "certificates read again"

// authority returns the certificate authority with the name, and creates it if it
// does not exist.
func (e *environment) authority(name string) (*node.Authority, error) {
	if a := e.authorities[name]; a != nil {
		return a, nil
	}
	a, err := node.NewAuthority(name, time.Hour)
	if err != nil {
		return nil, err
	}
	if e.authorities == nil {
		e.authorities = make(map[string]*node.Authority)
	}
	e.authorities[name] = a
	return a, nil
}

// writeKeys writes certificates of one authority for all nodes, and the file with the
// trusted authorities.
func (e *environment) writeKeys(size int, issuer string, trusted ...string) error {
	files := make(map[string][]byte)
	for _, name := range trusted {
		a, err := e.authority(name)
		if err != nil {
			return err
		}
		files["ca.pem"] = bytes.Join([][]byte{files["ca.pem"], a.CertPEM}, nil)
	}
	a, err := e.authority(issuer)
	if err != nil {
		return err
	}
	for i := range size {
		id := "n" + strconv.Itoa(i)
		if files[id+".pem"], files[id+".key"], err = a.Issue(id, time.Hour); err != nil {
			return err
		}
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(e.dir, name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// keys implements "keys ISSUER TRUSTED...". It writes new certificates and trusted
// authorities, and sends SIGHUP to one node after the other, so that it reloads them.
func (e *environment) keys(args []string) error {
	if err := e.writeKeys(len(e.nodes), args[0], args[1:]...); err != nil {
		return err
	}
	for _, a := range e.nodes {
		before, err := e.reloadCount(a.id)
		if err != nil {
			return err
		}
		if err := e.signal([]string{a.id, "HUP"}); err != nil {
			return err
		}
		if err := awaitCondition(func() error {
			if count, err := e.reloadCount(a.id); err != nil || count == before {
				return fmt.Errorf("%s has not read its certificates again: %w", a.id, err)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// reloadCount returns how often a node has reloaded its certificates, from its log.
func (e *environment) reloadCount(name string) (int, error) {
	log, err := os.ReadFile(filepath.Join(e.dir, name+".log"))
	return strings.Count(string(log), reloadMessage), err
}

// connect implements "connect AUTHORITY", which creates a client that has a
// certificate of the authority but is not a member.
func (e *environment) connect(args []string) error {
	e.closeNonMember()
	a, err := e.authority(args[0])
	if err != nil {
		return err
	}
	cert, key, err := a.Issue("non-member", time.Hour)
	if err != nil {
		return err
	}
	var trusted [][]byte
	for _, known := range e.authorities {
		trusted = append(trusted, known.CertPEM)
	}
	credentials := &node.Credentials{}
	if err := credentials.Replace(cert, key, bytes.Join(trusted, nil)); err != nil {
		return err
	}
	e.nonMember = &node.Transport{ID: "non-member", Credentials: credentials, MaxBody: 1 << 20}
	return e.nonMember.Listen(e.loopbackIP + ":0")
}

// intrude implements "intrude nN", which sends a request from the non-member to a
// node, over its open connection if there is one.
func (e *environment) intrude(args []string) error {
	a, err := e.nodeByName(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := e.nonMember.Call(ctx, node.Peer{ID: a.id, Addr: a.peer}, call.Request{
		ID: "non-member", Service: "stock", Method: http.MethodGet, URI: "/stock/item?intruder=1", Timeout: 5 * time.Second,
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return err
}

func (e *environment) closeNonMember() {
	if e.nonMember != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = e.nonMember.Close(ctx)
	}
}
