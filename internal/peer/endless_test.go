package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendEndless sends first, and then text until an error, byte by byte if drip is set. It
// returns the number of bytes.
func sendEndless(c net.Conn, first, text []byte, drip bool) (int, error) {
	n, err := c.Write(first)
	if !drip {
		text = bytes.Repeat(text, 1+16<<10/len(text))
	}
	for i := 0; err == nil; i++ {
		part := text
		if drip {
			part = text[i%len(text):][:1]
			time.Sleep(2 * time.Millisecond)
		}
		_, err = c.Write(part)
		n += len(part)
	}
	return n, err
}

// Guards against a peer that sends bytes without end which are no request, and holds a
// connection and memory.
func TestEndlessRequestsOfPeersAreBounded(t *testing.T) {
	opened := appendHeader(nil, frameOpen, 1, 0)
	data := append(appendHeader(nil, frameData, 1, 1000), make([]byte, 1000)...)
	for name, c := range map[string]struct {
		first, text []byte
		drip        bool
	}{
		"head by drips":         {appendHeader(nil, frameOpen, 1, maxFrameSize), []byte("x"), true},
		"body by drips":         {append(opened, appendHeader(nil, frameData, 1, dataFrameSize)...), []byte("x"), true},
		"size over the limit":   {appendHeader(nil, frameOpen, 1, maxFrameSize+1), []byte("x"), false},
		"body over the limit":   {opened, data, false},
		"unknown type of frame": {nil, bytes.Repeat([]byte{0xff}, 64), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &Server{
				MaxBody: 1 << 20, frameTimeout: 50 * time.Millisecond,
				Handler: func(context.Context, Incoming) Reply { return Reply{} },
			}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			defer s.Close()
			conn, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(10*time.Second)))
			n, err := sendEndless(conn, c.first, c.text, c.drip)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stayed open")
			assert.Assert(t, n < 16<<20, "%d bytes were sent", n)
		})
	}
}

// Guards against requests that a peer opens and never ends, which have no bound in memory.
func TestOpenStreamsOfPeersAreBounded(t *testing.T) {
	s := &Server{Handler: func(context.Context, Incoming) Reply { return Reply{} }}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	go func() {
		for id := uint32(1); err == nil && id <= maxStreams+1; id++ {
			_, err = conn.Write(appendHeader(nil, frameOpen, id, 0))
		}
	}()
	accepted := 0
	for {
		f, err := readFrame(conn)
		if err != nil {
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stayed open")
			break
		}
		assert.Equal(t, f.kind, frameAccept)
		accepted++
	}
	assert.Assert(t, accepted <= maxStreams)
}

// Guards against an answer of a peer that never ends and holds its caller or memory.
func TestEndlessAnswersOfPeersAreBounded(t *testing.T) {
	accept, head := appendHeader(nil, frameAccept, 1, 0), appendHeader(nil, frameHead, 1, 0)
	data := append(appendHeader(nil, frameData, 1, 1000), make([]byte, 1000)...)
	for name, c := range map[string]struct {
		first, text []byte
		drip        bool
		err         error
	}{
		"head by drips":        {append(accept, appendHeader(nil, frameHead, 1, maxFrameSize)...), []byte("x"), true, ErrConnectionLost},
		"body by drips":        {append(head, appendHeader(nil, frameData, 1, dataFrameSize)...), []byte("x"), true, ErrConnectionLost},
		"size over the limit":  {appendHeader(nil, frameHead, 1, maxFrameSize+1), []byte("x"), false, ErrConnectionLost},
		"body over the window": {head, data, false, ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				for f := (frame{}); err == nil && f.kind != frameEnd; {
					f, err = readFrame(conn)
				}
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				_, _ = sendEndless(conn, c.first, c.text, c.drip)
			}()
			client := &Client{}
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			answer, err := client.Call(ctx, l.Addr().String(), Request{})
			if err == nil {
				defer answer.Body.Close()
				s := answer.Body.(*answerBody).stream
				if !c.drip { // nothing is read, so that the window stays closed
					<-failedStream(s)
					assert.Equal(t, len(s.chunks), 0)
				}
				_, err = io.Copy(io.Discard, answer.Body)
			}
			assert.ErrorIs(t, err, c.err)
			assert.NilError(t, ctx.Err())
		})
	}
}

// failedStream returns a channel that is closed when the stream has an error.
func failedStream(s *stream) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.mu.Lock()
		defer s.mu.Unlock()
		for s.err == nil {
			s.cond.Wait()
		}
	}()
	return done
}
