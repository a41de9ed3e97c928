// Package relay is a stand-in for a network path. It forwards TCP connections and
// UDP packets to a target and injects network faults.
package relay

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Mode selects whether a Relay forwards traffic.
type Mode int32

const (
	// Pass forwards all traffic.
	Pass Mode = iota
	// Cut closes open connections, closes new ones at once and drops packets.
	Cut
	// Silent forwards nothing on connections that were open when the mode was set,
	// but does not close them. New connections are forwarded. Packets from and to
	// peers that sent packets before the mode was set are dropped.
	Silent
	// OneWay keeps connections open but forwards nothing to the target.
	OneWay
)

var modeNames = map[string]Mode{"pass": Pass, "cut": Cut, "silent": Silent, "one-way": OneWay}

// Relay forwards traffic to one target. Set the exported fields before StartTCP or
// StartUDP.
type Relay struct {
	// Target is the address to which the relay forwards (IP:port).
	Target string
	// Delay is the initial latency of SetDelay.
	Delay time.Duration

	mode    atomic.Int32
	delay   atomic.Int64
	dropped atomic.Int64
	mu      sync.Mutex
	tcp     net.Listener
	udp     *net.UDPConn
	pipes   map[*pipe]struct{}
	flows   map[string]*flow
	// blocked holds the UDP peers whose packets are dropped in both directions.
	blocked map[string]bool
}

// StartTCP listens on addr and forwards TCP connections.
func (r *Relay) StartTCP(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on TCP %s", addr)
	}
	r.tcp = listener
	r.SetDelay(r.Delay)
	r.pipes = make(map[*pipe]struct{})
	go r.acceptTCP()
	return nil
}

// TCPAddr returns the address on which StartTCP listens.
func (r *Relay) TCPAddr() string { return r.tcp.Addr().String() }

// UDPAddr returns the address on which StartUDP listens.
func (r *Relay) UDPAddr() string { return r.udp.LocalAddr().String() }

// Dropped returns the number of connections, chunks and packets that were not
// forwarded because of the mode or of Block.
func (r *Relay) Dropped() int64 { return r.dropped.Load() }

// SetMode changes the mode, with immediate effect on open connections.
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

// SetDelay sets the latency that is added to each chunk of a TCP connection, in both
// directions.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Block drops the packets from and to one UDP peer (IP:port) if on is true, and
// forwards them again otherwise. It simulates a partition that affects only some of
// the peers.
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

func (r *Relay) currentMode() Mode { return Mode(r.mode.Load()) }

// Close stops the relay.
func (r *Relay) Close() {
	if r.tcp != nil {
		_ = r.tcp.Close()
	}
	if r.udp != nil {
		_ = r.udp.Close()
	}
	r.SetMode(Cut)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.socket.Close()
	}
}

// ServeHTTP sets the mode to the parameter value: pass, cut, silent or one-way. With
// one or more parameters from=IP:port, it blocks the packets of these peers instead,
// or with pass, forwards them again.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	mode, ok := modeNames[request.URL.Query().Get("value")]
	if !ok {
		http.Error(w, "value must be pass, cut, silent or one-way", http.StatusBadRequest)
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
