package relay

import (
	"net"
	"sync/atomic"
	"time"
)

const bufferSize = 32 << 10

// pipe holds an accepted connection and the connection to the target to which it is
// forwarded.
type pipe struct {
	downstream, upstream net.Conn
	silent               atomic.Bool
	// ended counts the directions in which nothing is forwarded any more.
	ended atomic.Int32
}

func (p *pipe) close() {
	_ = p.downstream.Close()
	_ = p.upstream.Close()
}

func (r *Relay) acceptTCP() {
	for {
		downstream, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if r.currentMode() == Cut {
			r.dropped.Add(1)
			_ = downstream.Close()
			continue
		}
		upstream, err := net.Dial("tcp", r.Target)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		p := &pipe{downstream: downstream, upstream: upstream}
		r.mu.Lock()
		r.pipes[p] = struct{}{}
		r.mu.Unlock()
		go r.copy(p, downstream, upstream, true)
		go r.copy(p, upstream, downstream, false)
	}
}

// copy forwards data until one of the connections is closed, and then closes both. A
// silent pipe is closed with its second connection, or by SetMode or Close.
func (r *Relay) copy(p *pipe, from, to net.Conn, forward bool) {
	defer func() {
		if p.ended.Add(1) < 2 && p.silent.Load() {
			return
		}
		r.mu.Lock()
		delete(r.pipes, p)
		r.mu.Unlock()
		p.close()
	}()
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(r.delay.Load()))
			if p.silent.Load() || forward && r.currentMode() == OneWay {
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
