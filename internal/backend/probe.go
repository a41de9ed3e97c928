package backend

import (
	"cmp"
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/call"
)

// Probe requests the server's health check. It returns the server's ID and load;
// healthy is false if the server reports that it is unhealthy or stopping.
func (p *Pool) Probe(ctx context.Context, addr, path string) (instance string, load ServerLoad, healthy bool, err error) {
	c, err := p.probes.get(ctx, addr, true, p.partTimeout)
	if err != nil {
		return "", load, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	r := call.Request{Method: http.MethodGet, URI: path, Host: addr}
	sent := p.write(c, r)
	response, err := c.readAnswer(&http.Request{Method: r.Method}, sent)
	if err == nil {
		err = discard(response.Body)
	}
	if !stop() {
		err = cmp.Or(err, ctx.Err())
	}
	if err != nil {
		_ = c.Close()
		return "", load, false, eris.Wrap(err, "probe the backend server")
	}
	load, _ = p.HeaderNames.parseLoad(response.Header)
	instance, healthy = response.Header.Get(p.HeaderNames.Instance), response.StatusCode == http.StatusOK
	p.keepAlive(c, response)
	c.Next()
	p.probes.put(c)
	return instance, load, healthy, nil
}
