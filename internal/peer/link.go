package peer

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// watchInterval is how often a connection with requests in flight is checked.
	watchInterval = 200 * time.Millisecond
	// maxCheckDelay is the time between two checks from which this process counts as
	// stalled.
	maxCheckDelay = 2 * watchInterval
	// pingAfter is how long no frame may arrive before a ping is sent.
	pingAfter = 300 * time.Millisecond
	// silenceTimeout is how long no frame may arrive, in spite of a ping, before the
	// connection counts as lost. TCP retransmits a lost packet after 200 ms and then
	// 400 ms; the remainder allows for a busy peer.
	silenceTimeout = 1500 * time.Millisecond
	// maxFrameAge is how long ago the last frame may have arrived for a request with
	// CheckLiveness to be sent without a ping: a few round trips between regions.
	maxFrameAge = 50 * time.Millisecond
	// maxUnacknowledged bounds the late acknowledgements of a connection that are
	// reported.
	maxUnacknowledged = 64
)

// link is the client side of a connection to a peer.
type link struct {
	ready   chan struct{}
	dialErr error
	socket  *socket

	mu      sync.Mutex
	streams map[uint32]*stream
	lastID  uint32
	// retired is set when the connection is closed with its last stream.
	retired bool
	ended   bool
	// lastFrame is when the last frame arrived, lastPing when the last ping was sent.
	lastFrame, lastPing time.Time
	// lastCheck is when the silence was last checked.
	lastCheck time.Time
	// unacknowledged holds when the requests were sent that the peer did not acknowledge
	// in time; at most maxUnacknowledged.
	unacknowledged map[uint32]time.Time
	lateAck        func(after time.Duration)
	// nextFrame is closed when the next frame arrives; nil while nothing waits for it.
	nextFrame chan struct{}
	// lastUsed is when a stream was last opened or dropped.
	lastUsed   time.Time
	watchTimer *time.Timer
}

func newLink() *link {
	return &link{ready: make(chan struct{}), streams: make(map[uint32]*stream)}
}

func (l *link) start(conn net.Conn, hello []byte) error {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		_ = conn.Close()
		return ErrConnectionLost
	}
	l.socket = newSocket(conn)
	l.lastFrame, l.lastUsed = time.Now(), time.Now()
	l.mu.Unlock()
	return l.socket.frame(frameHello, 0, hello)
}

func (l *link) closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// confirmAlive returns nil if a frame arrived within maxFrameAge, or arrives within
// timeout after a ping. On an error nothing but the ping was sent.
func (l *link) confirmAlive(ctx context.Context, timeout time.Duration) error {
	l.mu.Lock()
	if time.Since(l.lastFrame) <= maxFrameAge {
		l.mu.Unlock()
		return nil
	}
	if l.nextFrame == nil {
		l.nextFrame = make(chan struct{})
	}
	nextFrame := l.nextFrame
	l.mu.Unlock()
	if err := l.socket.frame(framePing, 0, nil); err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-nextFrame:
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
	l.lastID++
	s := newStream(l.lastID, l)
	l.streams[s.id] = s
	l.lastUsed = time.Now()
	if len(l.streams) == 1 {
		l.lastFrame = l.lastUsed // the link is not watched while it is idle
		l.startWatch()
	}
	l.mu.Unlock()
	if err := l.send(s.id, r); err != nil {
		l.dropStream(s, false)
		return nil, err
	}
	return s, nil
}

// send writes the request. If a write before the last one fails, the peer did not
// receive the whole request.
func (l *link) send(id uint32, r Request) error {
	out := net.Buffers{append(appendHeader(nil, frameOpen, id, len(r.Head)), r.Head...)}
	body := r.Body
	for len(body) > dataFrameSize {
		out = append(out, appendHeader(nil, frameData, id, dataFrameSize), body[:dataFrameSize])
		body = body[dataFrameSize:]
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

// readFrames passes frames to their streams until the connection ends.
func (l *link) readFrames() {
	r := newFrameReader(l.socket, 0)
	for {
		f, err := r.next()
		if err != nil {
			l.end(ErrConnectionLost)
			return
		}
		l.mu.Lock()
		l.lastFrame = time.Now()
		if l.nextFrame != nil {
			close(l.nextFrame)
			l.nextFrame = nil
		}
		s := l.streams[f.stream]
		sent, late := l.unacknowledged[f.stream]
		delete(l.unacknowledged, f.stream)
		l.mu.Unlock()
		if late {
			l.lateAck(time.Since(sent))
		}
		if s != nil {
			s.deliver(f)
		}
	}
}

// expectLateAck reports the acknowledgement of a request when it still arrives.
func (l *link) expectLateAck(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unacknowledged == nil {
		l.unacknowledged = make(map[uint32]time.Time)
	}
	if len(l.unacknowledged) < maxUnacknowledged {
		l.unacknowledged[s.id] = s.opened
	}
}

// dropStream removes a stream. With notify it resets the stream at the peer, because
// the answer is not needed any more.
func (l *link) dropStream(s *stream, notify bool) {
	l.mu.Lock()
	_, known := l.streams[s.id]
	delete(l.streams, s.id)
	l.lastUsed = time.Now()
	ended, retired := l.ended, l.retired
	l.mu.Unlock()
	if known && notify && !ended {
		_ = l.socket.frame(frameReset, s.id, nil) // readFrames notices a failed connection
	}
	if retired {
		l.endUnused(ErrConnectionLost)
	}
}

// retire closes the connection as soon as it has no streams.
func (l *link) retire() {
	l.mu.Lock()
	l.retired = true
	l.mu.Unlock()
	l.endUnused(ErrConnectionLost)
}

func (l *link) credit(id uint32, n int) {
	_ = l.socket.frame(frameCredit, id, binary.BigEndian.AppendUint32(nil, uint32(n)))
}

// end closes the connection and fails its streams with err.
func (l *link) end(err error) {
	l.mu.Lock()
	l.endLocked(err)
}

// endUnused closes the connection unless it has streams. No stream can be opened between
// the check and the close.
func (l *link) endUnused(err error) {
	l.mu.Lock()
	if len(l.streams) > 0 {
		l.mu.Unlock()
		return
	}
	l.endLocked(err)
}

// endLocked closes the connection and unlocks l.mu, which the caller holds.
func (l *link) endLocked(err error) {
	if l.ended {
		l.mu.Unlock()
		return
	}
	l.ended = true
	streams := l.streams
	l.streams = nil
	if l.watchTimer != nil {
		l.watchTimer.Stop()
	}
	l.mu.Unlock()
	if l.socket != nil {
		_ = l.socket.Close()
	}
	for _, s := range streams {
		s.fail(err)
	}
}

// startWatch starts the periodic silence check. It runs while requests are in flight,
// and once more to close an idle connection.
func (l *link) startWatch() {
	l.lastCheck = time.Now()
	if l.watchTimer == nil {
		l.watchTimer = time.AfterFunc(watchInterval, l.checkSilence)
		return
	}
	l.watchTimer.Reset(watchInterval)
}

func (l *link) checkSilence() {
	now := time.Now()
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	if len(l.streams) == 0 {
		idle := now.Sub(l.lastUsed) >= idleTimeout
		if !idle {
			l.watchTimer.Reset(idleTimeout)
		}
		l.mu.Unlock()
		if idle {
			l.endUnused(ErrNotSent)
		}
		return
	}
	// After a stall of this process, frames of the peer may still be unread.
	stalled := now.Sub(l.lastCheck) >= maxCheckDelay
	l.lastCheck = now
	silence := now.Sub(l.lastFrame)
	ping := silence >= pingAfter && (stalled || l.lastPing.Before(l.lastFrame))
	if ping {
		l.lastPing = now
	}
	lost := silence >= silenceTimeout && l.lastPing.After(l.lastFrame) && now.Sub(l.lastPing) >= silenceTimeout-pingAfter-watchInterval
	l.watchTimer.Reset(watchInterval)
	l.mu.Unlock()
	switch {
	case lost:
		l.end(ErrConnectionLost)
	case ping:
		_ = l.socket.frame(framePing, 0, nil)
	}
}
