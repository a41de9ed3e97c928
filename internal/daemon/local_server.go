package daemon

import (
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/config"
)

const (
	stateReady    = "ready"
	stateDraining = "draining"
	// announceTTL is how long a server that stopped announcing itself stays
	// known; it announces itself every half second or so.
	announceTTL = 5 * time.Second
)

// announcement is what the backend server beside this node tells about itself.
type announcement struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// localServer is what this node knows of the backend server beside it.
type localServer struct {
	mu sync.Mutex
	// last is the zero value until the first announcement.
	last announcement
	at   time.Time
	// known is set by the first announcement and stays set.
	known bool
	// drained is set while the configuration drains the server.
	drained bool
}

// obey puts an operator's drain of the server beside the node in force.
func (l *localServer) obey(current *config.Snapshot, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = current.Document.Services[l.last.Service].Servers[node].Drained
}

// update takes an announcement. It reports whether anything changed, and
// whether another process than before is announced, which starts cold.
func (l *localServer) update(a announcement, now time.Time) (changed, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.last != a
	cold = l.known && l.last.Addr != a.Addr
	l.last, l.at, l.known = a, now, true
	return changed, cold
}

// expire forgets a server that has stopped announcing itself.
func (l *localServer) expire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Addr == "" || now.Sub(l.at) < announceTTL {
		return false
	}
	l.last = announcement{}
	return true
}

// crashed forgets the server at addr.
func (l *localServer) crashed(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Addr == addr {
		l.last = announcement{}
	}
}

// get returns the newest announcement; Addr is empty when there is none. A
// server that an operator drains is draining whatever it says itself.
func (l *localServer) get() announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.last
	if l.drained && a.Addr != "" {
		a.State = stateDraining
	}
	return a
}
