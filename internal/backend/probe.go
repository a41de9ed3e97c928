package backend

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/call"
)

// Probe requests the server's health check. It returns the server's ID and load;
// healthy is false if the server reports that it is unhealthy or stopping.
func (p *Pool) Probe(ctx context.Context, addr, path string) (instance string, load ServerLoad, healthy bool, err error) {
	c, err := p.conn(ctx, addr, true)
	if err != nil {
		return "", load, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	r := call.Request{Method: http.MethodGet, URI: path, Host: addr}
	if err = p.write(c, r).wait(); err == nil {
		var response *http.Response
		response, err = c.readHead(&http.Request{Method: r.Method})
		if err == nil {
			err = discard(response.Body)
			load, _ = p.HeaderNames.parseLoad(response.Header)
			instance, healthy = response.Header.Get(p.HeaderNames.Instance), response.StatusCode == http.StatusOK
			p.keepAlive(c, response)
		}
	}
	if !stop() || err != nil {
		_ = c.Close()
		return instance, load, false, eris.Wrap(err, "probe the backend server")
	}
	c.Next()
	p.put(c)
	return instance, load, healthy, nil
}
