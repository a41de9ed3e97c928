package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// watchInterval is how often a connection with requests under way is looked at.
	watchInterval = 200 * time.Millisecond
	// pingAfter is how long nothing may come before the peer is asked for a sign.
	pingAfter = 300 * time.Millisecond
	// silentAfter is how long nothing may come, after a ping, before the
	// connection counts as lost. A lost packet is sent again after 200 ms and
	// then 400 ms; the rest is for a peer that is busy.
	silentAfter = 1500 * time.Millisecond
	// signTime is how old the last sign of life may be for a request that must not
	// be lost: a few round trips between regions.
	signTime = 50 * time.Millisecond
)

// link is one connection to a peer, seen from the side that dialled.
type link struct {
	ready   chan struct{}
	dialErr error
	socket  *socket

	mu      sync.Mutex
	streams map[uint32]*stream
	next    uint32
	// retired connections end with their last stream.
	retired bool
	ended   bool
	// heard is when the last frame came, asked when the last ping went out.
	heard, asked time.Time
	// sign is closed by the next frame; it is nil while nobody waits for one.
	sign chan struct{}
	// used is when a stream was last open.
	used  time.Time
	watch *time.Timer
}

func newLink() *link {
	return &link{ready: make(chan struct{}), streams: make(map[uint32]*stream)}
}

func (l *link) begin(conn net.Conn, hello []byte) error {
	l.socket = newSocket(conn)
	l.heard, l.used = time.Now(), time.Now()
	return l.socket.frame(frameHello, 0, hello)
}

func (l *link) closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// confirm returns when the peer has shown a sign of life. An error means that
// nothing was sent to it but a ping.
func (l *link) confirm(ctx context.Context, patience time.Duration) error {
	l.mu.Lock()
	if time.Since(l.heard) <= signTime {
		l.mu.Unlock()
		return nil
	}
	if l.sign == nil {
		l.sign = make(chan struct{})
	}
	sign := l.sign
	l.mu.Unlock()
	if err := l.socket.frame(framePing, 0, nil); err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-sign:
		return nil
	case <-timer.C:
		return eris.Wrap(ErrNotSent, "the peer answered no ping")
	case <-ctx.Done():
		return eris.Wrap(ErrNotSent, ctx.Err().Error())
	}
}

// open sends a request on a new stream.
func (l *link) open(r Request) (*stream, error) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return nil, ErrNotSent
	}
	l.next++
	s := newStream(l.next, l)
	l.streams[s.id] = s
	l.used = time.Now()
	if len(l.streams) == 1 {
		l.heard = l.used // silence counts from now
		l.arm()
	}
	l.mu.Unlock()
	if err := l.send(s.id, r); err != nil {
		l.drop(s, false)
		return nil, err
	}
	return s, nil
}

// send writes the request. A failure before the last piece proves that the peer
// has no whole request.
func (l *link) send(id uint32, r Request) error {
	out := net.Buffers{append(appendHeader(nil, frameOpen, id, len(r.Head)), r.Head...)}
	body := r.Body
	for len(body) > dataFrame {
		out = append(out, appendHeader(nil, frameData, id, dataFrame), body[:dataFrame])
		body = body[dataFrame:]
		if err := l.socket.send(out); err != nil {
			l.end(ErrConnectionLost)
			return eris.Wrap(ErrNotSent, err.Error())
		}
		out = nil
	}
	if err := l.socket.send(appendBody(out, id, body)); err != nil {
		l.end(ErrConnectionLost)
		return eris.Wrap(ErrConnectionLost, err.Error())
	}
	return nil
}

// read delivers frames until the connection ends.
func (l *link) read() {
	r := bufio.NewReaderSize(l.socket, readBuffer)
	for {
		f, err := readFrame(r)
		if err != nil {
			l.end(ErrConnectionLost)
			return
		}
		l.mu.Lock()
		l.heard = time.Now()
		if l.sign != nil {
			close(l.sign)
			l.sign = nil
		}
		s := l.streams[f.stream]
		l.mu.Unlock()
		if s != nil {
			s.deliver(f)
		}
	}
}

// drop forgets a stream, and tells the peer if the answer is not wanted any more.
func (l *link) drop(s *stream, tell bool) {
	l.mu.Lock()
	_, known := l.streams[s.id]
	delete(l.streams, s.id)
	l.used = time.Now()
	ended, last := l.ended, l.retired && len(l.streams) == 0
	l.mu.Unlock()
	if known && tell && !ended {
		_ = l.socket.frame(frameReset, s.id, nil) // the reader sees a failed connection
	}
	if last {
		l.end(ErrConnectionLost)
	}
}

// retire ends the connection once no stream is left.
func (l *link) retire() {
	l.mu.Lock()
	l.retired = true
	last := len(l.streams) == 0
	l.mu.Unlock()
	if last {
		l.end(ErrConnectionLost)
	}
}

func (l *link) credit(id uint32, n int) {
	_ = l.socket.frame(frameCredit, id, binary.BigEndian.AppendUint32(nil, uint32(n)))
}

// end closes the connection and fails its streams.
func (l *link) end(err error) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	l.ended = true
	streams := l.streams
	l.streams = nil
	if l.watch != nil {
		l.watch.Stop()
	}
	l.mu.Unlock()
	if l.socket != nil {
		_ = l.socket.Close()
	}
	for _, s := range streams {
		s.fail(err)
	}
}

// arm starts watching; it runs while requests are under way, and once more to
// close an idle connection.
func (l *link) arm() {
	if l.watch == nil {
		l.watch = time.AfterFunc(watchInterval, l.look)
		return
	}
	l.watch.Reset(watchInterval)
}

func (l *link) look() {
	now := time.Now()
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	if len(l.streams) == 0 {
		idle := now.Sub(l.used) >= idleTimeout
		if !idle {
			l.watch.Reset(idleTimeout)
		}
		l.mu.Unlock()
		if idle {
			l.end(ErrNotSent)
		}
		return
	}
	silence := now.Sub(l.heard)
	ping := silence >= pingAfter && l.asked.Before(l.heard)
	if ping {
		l.asked = now
	}
	lost := silence >= silentAfter && l.asked.After(l.heard) && now.Sub(l.asked) >= silentAfter-pingAfter-watchInterval
	l.watch.Reset(watchInterval)
	l.mu.Unlock()
	switch {
	case lost:
		l.end(ErrConnectionLost)
	case ping:
		_ = l.socket.frame(framePing, 0, nil)
	}
}
