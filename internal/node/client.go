package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const readBufferSize = 4 << 10

// Call sends a request to a peer. An error says whether the request may have
// reached it. The caller closes the answer's body.
func (t *Transport) Call(ctx context.Context, peer Peer, r call.Request) (*call.Answer, error) {
	if !r.Deadline.IsZero() {
		r.Timeout = time.Until(r.Deadline)
	}
	head := requestHead{From: t.ID, Call: &r, Size: len(r.Body)}
	l, stream, err := t.open(ctx, peer)
	if err != nil {
		return nil, err
	}
	// Only requests count as use: control messages alone, such as probes, must
	// not keep a link open.
	l.used.Store(time.Now().UnixNano())
	release := func() { l.inFlight.Add(-1) }
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
	})
	answer, err := t.exchange(stream, head, r.Body)
	if err != nil {
		stop()
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
		release()
		return nil, unknown(ctx, peer, err)
	}
	body := answer.Body.(*answerBody)
	body.release = func() {
		stop()
		release()
	}
	return answer, nil
}

func (t *Transport) exchange(stream *quic.Stream, head requestHead, body []byte) (*call.Answer, error) {
	sent := writeRequest(stream, head, body)
	reader := bufio.NewReaderSize(stream, readBufferSize)
	var answer answerHead
	// A peer that refuses the request answers before it has read the body, so
	// an answer may come although the write failed.
	if err := readHead(reader, &answer); err != nil {
		return nil, errors.Join(sent, err)
	}
	if answer.Fault != nil {
		return nil, answer.Fault
	}
	return &call.Answer{
		Status:    answer.Status,
		Header:    answer.Header,
		Length:    answer.Length,
		Load:      answer.Load,
		Server:    answer.Server,
		Allowance: answer.Allowance,
		Replayed:  answer.Replayed,
		Outcome:   answer.Outcome,
		Body:      &answerBody{stream: stream, reader: reader, want: answer.Length},
	}, nil
}

func writeRequest(stream *quic.Stream, head requestHead, body []byte) error {
	packet, err := appendHead(nil, head)
	if err != nil {
		return err
	}
	if len(body) <= maxDataSize {
		packet = append(packet, body...)
		body = nil
	}
	if _, err := stream.Write(packet); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := stream.Write(body); err != nil {
			return err
		}
	}
	return stream.Close()
}

// open returns a new stream to the peer and counts it as in flight. Its errors
// are refusals: no byte of the request has left.
func (t *Transport) open(ctx context.Context, peer Peer) (*link, *quic.Stream, error) {
	l, err := t.link(peer)
	if err != nil {
		return nil, nil, err
	}
	l.inFlight.Add(1)
	conn, err := l.get(ctx, func(ctx context.Context, addr net.Addr) (*quic.Conn, error) {
		return t.quic.Dial(ctx, addr, t.Credentials.tlsConfig(), quicConfig())
	})
	if err == nil {
		var stream *quic.Stream
		if stream, err = conn.OpenStreamSync(ctx); err == nil {
			return l, stream, nil
		}
	}
	l.inFlight.Add(-1)
	if ctx.Err() != nil {
		return nil, nil, fault.New(fault.KindDeadline, "no connection to node %s before the deadline", peer.ID).
			WithOutcome(fault.Refused)
	}
	return nil, nil, fault.New(fault.KindUnreachable, "node %s cannot be reached: %v", peer.ID, err).
		WithOutcome(fault.Refused).WithRemedy("retry through any node")
}

// unknown types an error that came after bytes of the request had left.
func unknown(ctx context.Context, peer Peer, err error) error {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	if ctx.Err() != nil {
		return fault.New(fault.KindDeadline, "node %s did not answer before the deadline", peer.ID)
	}
	return fault.New(fault.KindUnreachable, "connection to node %s failed: %v", peer.ID, err)
}

// Control sends a control message and returns its reply.
func (t *Transport) Control(ctx context.Context, peer Peer, kind string, body []byte) ([]byte, error) {
	l, stream, err := t.open(ctx, peer)
	if err != nil {
		return nil, err
	}
	defer l.inFlight.Add(-1)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
	})
	defer stop()
	defer stream.CancelRead(codeCanceled)
	if err := writeRequest(stream, requestHead{From: t.ID, Kind: kind, Size: len(body)}, body); err != nil {
		return nil, unknown(ctx, peer, err)
	}
	var head answerHead
	if err := readHead(stream, &head); err != nil {
		return nil, unknown(ctx, peer, err)
	}
	if head.Fault != nil {
		return nil, head.Fault
	}
	if head.Length < 0 || head.Length > MaxControlSize {
		return nil, unknown(ctx, peer, io.ErrUnexpectedEOF)
	}
	reply := make([]byte, head.Length)
	if _, err := io.ReadFull(stream, reply); err != nil {
		return nil, unknown(ctx, peer, err)
	}
	return reply, nil
}

// ping sends a control message without waiting for its reply; the tick watches
// whether any packet comes back.
func (l *link) ping() {
	conn := l.current()
	if conn == nil {
		return
	}
	stream, err := conn.OpenStream()
	if err != nil {
		return
	}
	_ = writeRequest(stream, requestHead{Kind: kindPing}, nil)
	stream.CancelRead(codeCanceled)
}
