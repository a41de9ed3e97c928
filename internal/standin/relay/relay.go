// Package relay stands in for a network path: it forwards TCP connections or
// UDP packets to a target and can cut or silence them.
package relay

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Mode is what the relay does with traffic.
type Mode int32

const (
	// Pass forwards everything.
	Pass Mode = iota
	// Cut refuses new connections and closes open ones; packets are dropped.
	Cut
	// Silent keeps connections open but forwards nothing on those that are
	// open now; new connections work. Packets from known peers are dropped.
	Silent
	// OneWay keeps connections open but forwards nothing towards the target.
	OneWay
)

var modeNames = map[string]Mode{"pass": Pass, "cut": Cut, "silent": Silent, "one-way": OneWay}

// Relay forwards to one target. Set the exported fields before Start.
type Relay struct {
	// Target is the address behind the relay (IP:port).
	Target string
	// Delay is added to each piece of traffic in each direction.
	Delay time.Duration

	mode    atomic.Int32
	dropped atomic.Int64
	mu      sync.Mutex
	tcp     net.Listener
	udp     *net.UDPConn
	pipes   map[*pipe]struct{}
	flows   map[string]*flow
	// blocked holds the peers whose packets are dropped both ways.
	blocked map[string]bool
}

// StartTCP forwards TCP connections made to addr.
func (r *Relay) StartTCP(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on TCP %s", addr)
	}
	r.tcp = listener
	r.pipes = make(map[*pipe]struct{})
	go r.acceptTCP()
	return nil
}

// TCPAddr returns the address that StartTCP bound.
func (r *Relay) TCPAddr() string { return r.tcp.Addr().String() }

// UDPAddr returns the address that StartUDP bound.
func (r *Relay) UDPAddr() string { return r.udp.LocalAddr().String() }

// Dropped returns how many pieces of traffic were not forwarded.
func (r *Relay) Dropped() int64 { return r.dropped.Load() }

// SetMode changes the mode at once.
func (r *Relay) SetMode(mode Mode) {
	r.mode.Store(int32(mode))
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		switch mode {
		case Cut:
			p.close()
		case Silent:
			p.silent.Store(true)
		case Pass, OneWay:
		}
	}
	for _, f := range r.flows {
		f.silent.Store(mode == Silent)
	}
}

// Block drops the packets from and to one UDP peer (IP:port), or forwards them
// again: a partition that separates this path from some peers only.
func (r *Relay) Block(peer string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked == nil {
		r.blocked = make(map[string]bool)
	}
	r.blocked[peer] = on
}

func (r *Relay) isBlocked(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked[peer]
}

func (r *Relay) current() Mode { return Mode(r.mode.Load()) }

// Close stops the relay.
func (r *Relay) Close() {
	if r.tcp != nil {
		_ = r.tcp.Close()
	}
	if r.udp != nil {
		_ = r.udp.Close()
	}
	r.SetMode(Cut)
}

// ServeHTTP sets the mode by POST /mode?value=pass|cut|silent. With from=IP:port,
// repeated, cut and pass concern the packets of these peers only.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	mode, ok := modeNames[request.URL.Query().Get("value")]
	if !ok {
		http.Error(w, "value must be pass, cut or silent", http.StatusBadRequest)
		return
	}
	peers := request.URL.Query()["from"]
	for _, peer := range peers {
		r.Block(peer, mode != Pass)
	}
	if len(peers) == 0 {
		r.SetMode(mode)
	}
}
