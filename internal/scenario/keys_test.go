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

const keysRead = "certificates read again"

// authority returns the authority of that name and creates it when needed.
func (w *world) authority(name string) (*node.Authority, error) {
	if a := w.authorities[name]; a != nil {
		return a, nil
	}
	a, err := node.NewAuthority(name, time.Hour)
	if err != nil {
		return nil, err
	}
	if w.authorities == nil {
		w.authorities = make(map[string]*node.Authority)
	}
	w.authorities[name] = a
	return a, nil
}

// writeKeys writes certificates of one authority for all nodes, and the
// authorities to trust.
func (w *world) writeKeys(size int, issuer string, trusted ...string) error {
	files := make(map[string][]byte)
	for _, name := range trusted {
		a, err := w.authority(name)
		if err != nil {
			return err
		}
		files["ca.pem"] = bytes.Join([][]byte{files["ca.pem"], a.CertPEM}, nil)
	}
	a, err := w.authority(issuer)
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
		if err := os.WriteFile(filepath.Join(w.dir, name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// keys ISSUER TRUSTED... writes new certificates and trusted authorities, and
// sends SIGHUP to one node after the other until each has read them.
func (w *world) keys(args []string) error {
	if err := w.writeKeys(len(w.nodes), args[0], args[1:]...); err != nil {
		return err
	}
	for _, a := range w.nodes {
		before, err := w.keysReadBy(a.id)
		if err != nil {
			return err
		}
		if err := w.signal([]string{a.id, "HUP"}); err != nil {
			return err
		}
		if err := awaitCondition(func() error {
			if now, err := w.keysReadBy(a.id); err != nil || now == before {
				return fmt.Errorf("%s has not read its certificates again: %w", a.id, err)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) keysReadBy(name string) (int, error) {
	log, err := os.ReadFile(filepath.Join(w.dir, name+".log"))
	return strings.Count(string(log), keysRead), err
}

// connect AUTHORITY gives a stranger, who is no member, a certificate.
func (w *world) connect(args []string) error {
	w.closeStranger()
	a, err := w.authority(args[0])
	if err != nil {
		return err
	}
	cert, key, err := a.Issue("stranger", time.Hour)
	if err != nil {
		return err
	}
	var trusted [][]byte
	for _, known := range w.authorities {
		trusted = append(trusted, known.CertPEM)
	}
	credentials := &node.Credentials{}
	if err := credentials.Replace(cert, key, bytes.Join(trusted, nil)); err != nil {
		return err
	}
	w.stranger = &node.Transport{ID: "stranger", Credentials: credentials, MaxBody: 1 << 20}
	return w.stranger.Listen(w.ip + ":0")
}

// intrude nN sends a request as the stranger, over the connection that it has.
func (w *world) intrude(args []string) error {
	a, err := w.nodeOf(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := w.stranger.Call(ctx, node.Peer{ID: a.id, Addr: a.peer}, call.Request{
		ID: "stranger", Service: "stock", Method: http.MethodGet, URI: "/stock/item?intruder=1", Timeout: 5 * time.Second,
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return err
}

func (w *world) closeStranger() {
	if w.stranger != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = w.stranger.Close(ctx)
	}
}
