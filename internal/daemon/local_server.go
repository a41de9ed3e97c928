package daemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/config"
)

const (
	stateReady    = "ready"
	stateDraining = "draining"
	// announceTTL is how long a server stays known after its last announcement; it
	// announces itself about every half second.
	announceTTL = 5 * time.Second
)

// announcement is what the backend server beside this node announces.
type announcement struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// Born is the start of the server's process in Unix milliseconds, which orders
	// announcements that arrive late; zero where the server does not state it.
	Born int64 `json:"born,omitempty"`
}

// valid reports whether a backend server can have sent the announcement. The service is
// part of rows of the table and of messages between nodes.
func (a announcement) valid() bool {
	addr, err := netip.ParseAddrPort(a.Addr)
	return err == nil && addr.Port() > 0 && config.IsName(a.Service) && a.Slots > 0 && (a.State == stateReady || a.State == stateDraining)
}

// localServer is the state of the backend server beside this node.
type localServer struct {
	mu sync.Mutex
	// last is the zero value until the first announcement.
	last        announcement
	announcedAt time.Time
	// announced is set by the first announcement and stays set.
	announced bool
	// newest is the latest start of a process that was announced, and left whether that one
	// has announced that it drains.
	newest int64
	left   bool
	// drained is set while the configuration drains the server.
	drained bool
}

// applyDrain applies an operator's drain of the server beside the node.
func (l *localServer) applyDrain(current *config.Snapshot, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = current.Document.Services[l.last.Service].Servers[node].Drained
}

// update records an announcement. It reports whether anything changed, and whether a
// different server process is announced, which starts cold. late is set, and nothing is
// recorded, if it was sent before an announcement that is known: by an earlier process, or
// before its process began to drain.
func (l *localServer) update(a announcement, now time.Time) (changed, restarted, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.announcedAt) >= announceTTL {
		l.newest, l.left = 0, false // no announcement is that late, but clocks go back
	}
	if a.Born != 0 && (a.Born < l.newest || a.Born == l.newest && l.left && a.State == stateReady) {
		return false, false, true
	}
	if a.Born > l.newest {
		restarted = l.newest != 0
		l.newest, l.left = a.Born, false
	}
	l.left = l.left || a.Born != 0 && a.State == stateDraining
	changed = l.last != a
	restarted = restarted || l.announced && l.last.Addr != a.Addr
	l.last, l.announcedAt, l.announced = a, now, true
	return changed, restarted, false
}

// expire removes a server that has stopped announcing itself.
func (l *localServer) expire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Addr == "" || now.Sub(l.announcedAt) < announceTTL {
		return false
	}
	l.last = announcement{}
	return true
}

// crashed removes the server at addr.
func (l *localServer) crashed(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Addr == addr {
		l.last = announcement{}
	}
}

// get returns the newest announcement; Addr is empty if there is none. A server that
// an operator drains is draining regardless of the state that it announces.
func (l *localServer) get() announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.last
	if l.drained && a.Addr != "" {
		a.State = stateDraining
	}
	return a
}
