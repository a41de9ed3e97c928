package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/slots"
)

// Backend returns the backend server by the settings in force.
func (n *Node) Backend() Backend { return n.backend() }

// SetBackend puts a change of the host's settings in force. Requests of callers get the new
// service as their origin from now on. The server that ran until now gets no further
// requests; the next one gets some once it has reported. SetBackend must not be called
// concurrently.
func (n *Node) SetBackend(b Backend) {
	old := n.backend()
	if b == old {
		return
	}
	n.Log.WithField("service", b.Service).WithField("addr", b.Addr).WithField("old_service", old.Service).
		WithField("old_addr", old.Addr).Info("backend server of the settings changed")
	n.serverProxy.setBackend(b)
	if t := n.follower.table.Load(); t != nil {
		s, _ := t.Service(b.Service)
		n.serverProxy.setHealthPath(s.Health)
	}
	n.serverChanged()
	if b.Service == old.Service {
		return
	}
	var members []Member
	for _, e := range n.directory.others() {
		members = append(members, Member{Entry: e})
	}
	n.restoreCrashes(members)
}

// setBackend forgets the server that was known. Requests that wait for it are handed back.
func (p *serverProxy) setBackend(b Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Service != p.backend().Service {
		// The crashes of the other service's servers are not known here.
		p.crash.unknown.Store(true)
	}
	p.current.Store(&b)
	p.server.Vacate()
	p.held, p.confirmed, p.expected, p.settled, p.down = nil, "", "", true, false
	p.limiter.Limit, p.suggestedLimit, p.noSlowdown = slots.Limit{}, 0, false
	p.limiter.Restarted()
	p.limiter.SetClosed(true)
	p.limiter.Tick(time.Now())
}
