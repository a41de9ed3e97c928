package relay

import (
	"net"
	"sync/atomic"
	"time"
)

const bufferSize = 32 << 10

// pipe joins one accepted connection with one to the target.
type pipe struct {
	near, far net.Conn
	silent    atomic.Bool
}

func (p *pipe) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

func (r *Relay) acceptTCP() {
	for {
		near, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if r.current() == Cut {
			r.dropped.Add(1)
			_ = near.Close()
			continue
		}
		far, err := net.Dial("tcp", r.Target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pipe{near: near, far: far}
		r.mu.Lock()
		r.pipes[p] = struct{}{}
		r.mu.Unlock()
		go r.copy(p, near, far, true)
		go r.copy(p, far, near, false)
	}
}

func (r *Relay) copy(p *pipe, from, to net.Conn, forward bool) {
	defer func() {
		r.mu.Lock()
		delete(r.pipes, p)
		r.mu.Unlock()
		if !p.silent.Load() {
			p.close()
		}
	}()
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if r.Delay > 0 {
				time.Sleep(r.Delay)
			}
			if p.silent.Load() || forward && r.current() == OneWay {
				r.dropped.Add(1)
			} else if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
