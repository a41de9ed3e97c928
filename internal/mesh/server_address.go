package mesh

import (
	"net/http"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// address sets the name of the server that a request is for, and returns the server's
// address. The server may have gone, or changed its service, while the request waited.
func (p *serverProxy) address(r *call.Request) (string, *fault.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backend()
	if p.server.ID == "" || p.server.State == roster.Gone || r.Service != b.Service {
		return "", fault.New(fault.KindNoServer, "the server beside node %s has gone", p.Node).WithWait(retry.MinWait)
	}
	r.Target = p.server.ID
	return b.Addr, nil
}

// checkMisdirected processes an answer to a request that was not run. Status 421
// means that another server listens at the address than the one that the request was for.
func (p *serverProxy) checkMisdirected(target string, answer *call.Answer) {
	if answer.Status != http.StatusMisdirectedRequest {
		return
	}
	p.mu.Lock()
	current := p.server.ID == target
	if current {
		p.vacate()
	}
	p.mu.Unlock()
	if !current {
		return // another one has reported since
	}
	p.Log.WithField("server", target).Warn("another server has taken over the address")
	p.changed()
	go p.findServer()
}

// markDown is called when the server accepts no connection.
func (p *serverProxy) markDown() {
	p.mu.Lock()
	alreadyDown := p.down
	p.down = true
	id := p.server.ID
	p.mu.Unlock()
	if alreadyDown {
		return
	}
	p.Log.WithField("server", id).Warn("the backend server accepts no connection")
	go p.findServer()
}
