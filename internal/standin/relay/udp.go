package relay

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const maxPacket = 2 << 10

// flow forwards the packets of one peer. Each flow has its own socket, so that
// replies of the target can be assigned to the peer.
type flow struct {
	peer   *net.UDPAddr
	socket *net.UDPConn
	silent atomic.Bool
}

// StartUDP listens on addr and forwards UDP packets.
func (r *Relay) StartUDP(addr string) error {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return eris.Wrapf(err, "resolve UDP address %s", addr)
	}
	if r.udp, err = net.ListenUDP("udp", local); err != nil {
		return eris.Wrapf(err, "listen on UDP %s", addr)
	}
	r.flows = make(map[string]*flow)
	go r.readUDP()
	return nil
}

func (r *Relay) readUDP() {
	buf := make([]byte, maxPacket)
	for {
		n, peer, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		f := r.flow(peer)
		if f == nil || f.silent.Load() || r.currentMode() == Cut || r.isBlocked(peer.String()) {
			r.dropped.Add(1)
			continue
		}
		_, _ = f.socket.Write(buf[:n])
	}
}

// flow returns the flow of the peer, which it creates for the first packet, or nil if
// the target cannot be reached.
func (r *Relay) flow(peer *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[peer.String()]; f != nil {
		return f
	}
	target, err := net.ResolveUDPAddr("udp", r.Target)
	if err != nil {
		return nil
	}
	socket, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	f := &flow{peer: peer, socket: socket}
	r.flows[peer.String()] = f
	go r.readReplies(f)
	return f
}

func (r *Relay) readReplies(f *flow) {
	buf := make([]byte, maxPacket)
	for {
		n, err := f.socket.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier packet was refused, as before the target listens
		}
		if f.silent.Load() || r.currentMode() == Cut || r.isBlocked(f.peer.String()) {
			r.dropped.Add(1)
			continue
		}
		_, _ = r.udp.WriteToUDP(buf[:n], f.peer)
	}
}
