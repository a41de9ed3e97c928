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

// Call sends a request to a peer. The outcome of an error states whether the peer may
// have run the request. The caller must close the answer's body.
func (t *Transport) Call(ctx context.Context, peer Peer, r call.Request) (*call.Answer, error) {
	if !r.Deadline.IsZero() {
		r.Timeout = time.Until(r.Deadline)
	}
	head := requestHead{From: t.ID, Call: &r, Size: len(r.Body)}
	l, stream, err := t.open(ctx, peer)
	if err != nil {
		return nil, err
	}
	// Only requests count as use. Control messages such as probes must not keep an
	// otherwise idle link open.
	l.lastUsed.Store(time.Now().UnixNano())
	release := func() { l.inFlight.Add(-1) }
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
	})
	answer, err := t.exchange(stream, head, r.Body)
	if err != nil {
		l.recordRefusal(err)
		stop()
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
		release()
		return nil, exchangeError(ctx, peer, err)
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
	// A peer that refuses the request answers before it has read the body, so there
	// may be an answer although the write failed.
	if err := readHead(reader, &answer); err != nil {
		return nil, errors.Join(sent, err)
	}
	if answer.Fault != nil {
		return nil, answer.Fault
	}
	if err := call.CheckStatus(answer.Status); err != nil {
		return nil, fault.New(fault.KindCutShort, "answer of another node: %v", err)
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
		Body:      &answerBody{stream: stream, reader: reader, declared: answer.Length},
	}, nil
}

func writeRequest(stream *quic.Stream, head requestHead, body []byte) error {
	buf, err := appendHead(nil, head)
	if err != nil {
		return err
	}
	if len(body) <= maxDataSize {
		buf = append(buf, body...)
		body = nil
	}
	if _, err := stream.Write(buf); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := stream.Write(body); err != nil {
			return err
		}
	}
	return stream.Close()
}

// open returns a new stream to the peer and counts it as in flight. Its errors have
// the outcome Refused, since no byte of the request was sent.
func (t *Transport) open(ctx context.Context, peer Peer) (*link, *quic.Stream, error) {
	l, err := t.link(peer)
	if err != nil {
		return nil, nil, err
	}
	l.inFlight.Add(1)
	conn, err := l.connect(ctx, func(ctx context.Context, addr net.Addr) (*quic.Conn, error) {
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

// exchangeError converts an error that occurred after bytes of the request were sent
// to a *fault.Error.
func exchangeError(ctx context.Context, peer Peer, err error) error {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	var closed *quic.ApplicationError
	if errors.As(err, &closed) && closed.Remote && closed.ErrorCode == codeFull {
		return fault.New(fault.KindUnreachable, "all connections of node %s are in use", peer.ID).WithOutcome(fault.Refused)
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
		return nil, exchangeError(ctx, peer, err)
	}
	var head answerHead
	if err := readHead(stream, &head); err != nil {
		return nil, exchangeError(ctx, peer, err)
	}
	if head.Fault != nil {
		l.recordRefusal(head.Fault)
		return nil, head.Fault
	}
	if head.Length < 0 || head.Length > MaxControlSize {
		return nil, exchangeError(ctx, peer, io.ErrUnexpectedEOF)
	}
	reply := make([]byte, head.Length)
	if _, err := io.ReadFull(stream, reply); err != nil {
		return nil, exchangeError(ctx, peer, err)
	}
	return reply, nil
}

// ping sends a control message without waiting for its reply. Tick checks whether any
// packet is received afterwards.
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
