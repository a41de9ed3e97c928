package node

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"runtime/debug"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	kindPing      = "ping"
	copyChunkSize = 16 << 10
)

var chunkPool = sync.Pool{New: func() any { return new([frameHeaderSize + copyChunkSize]byte) }}

func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept(context.Background())
		if err != nil {
			return
		}
		go t.acceptStreams(conn)
	}
}

func (t *Transport) acceptStreams(conn *quic.Conn) {
	if !t.addAccepted(conn, time.Now()) {
		_ = conn.CloseWithError(codeFull, "too many connections")
		return
	}
	defer t.removeAccepted(conn)
	checkedGeneration, trusted := t.Credentials.generation.Load(), true
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		if now := t.Credentials.generation.Load(); now != checkedGeneration {
			checkedGeneration, trusted = now, t.Credentials.verify(conn.ConnectionState().TLS) == nil
		}
		if !trusted {
			refuse(stream, fault.New(fault.KindUnreachable, "node %s no longer trusts the certificate of this connection", t.ID).
				WithOutcome(fault.Refused))
			continue
		}
		if !t.beginStream(conn) {
			refuse(stream, fault.New(fault.KindStopped, "node %s is stopping", t.ID))
			continue
		}
		go func() {
			defer t.endStream(conn)
			defer t.recover(stream)
			t.serve(stream)
		}()
	}
}

// recover ends a request whose handler has panicked, so that the process goes on. The
// request may have run.
func (t *Transport) recover(stream *quic.Stream) {
	cause := recover()
	if cause == nil {
		return
	}
	if t.Panicked != nil {
		t.Panicked(cause, debug.Stack())
	}
	stream.CancelWrite(codeFailed)
}

func (t *Transport) serve(stream *quic.Stream) {
	timeout := t.requestTimeout
	if timeout <= 0 {
		timeout = requestTimeout
	}
	_ = stream.SetReadDeadline(time.Now().Add(timeout))
	reader := bufio.NewReaderSize(stream, readBufferSize)
	var head requestHead
	if err := readHead(reader, &head); err != nil {
		refuse(stream, fault.New(fault.KindBadRequest, "request head from another node: %v", err))
		return
	}
	limit := t.MaxBody
	if head.Call == nil {
		limit = MaxControlSize
	}
	if head.Size < 0 || head.Size > limit {
		refuse(stream, fault.New(fault.KindTooLarge, "body of %d bytes is over the limit of %d", head.Size, limit))
		return
	}
	if head.Call != nil && t.Bodies != nil {
		if !t.Bodies.Take(head.Size) {
			refuse(stream, fault.New(fault.KindOverloaded, "%d bytes of request bodies are held", t.Bodies.Held()))
			return
		}
		defer t.Bodies.Release(head.Size)
	}
	body := make([]byte, head.Size)
	if _, err := io.ReadFull(reader, body); err != nil {
		refuse(stream, fault.New(fault.KindBadRequest, "request body from another node was cut short: %v", err))
		return
	}
	if head.Call == nil {
		t.serveControl(stream, head, body)
		return
	}
	r := *head.Call
	r.Body, r.From = body, head.From
	t.serveCall(stream, r)
}

func (t *Transport) serveControl(stream *quic.Stream, head requestHead, body []byte) {
	if head.Kind == kindPing {
		_ = stream.Close()
		return
	}
	control := t.Controls[head.Kind]
	if control == nil {
		refuse(stream, fault.New(fault.KindBadRequest, "control message %q is not known; both nodes must run compatible versions", head.Kind))
		return
	}
	reply, err := control(stream.Context(), head.From, body)
	if err != nil {
		refuse(stream, fault.As(err))
		return
	}
	packet, err := appendHead(nil, answerHead{Length: int64(len(reply))})
	if err == nil {
		_, err = stream.Write(append(packet, reply...))
	}
	if err != nil {
		stream.CancelWrite(codeFailed)
		return
	}
	_ = stream.Close()
}

func (t *Transport) serveCall(stream *quic.Stream, r call.Request) {
	ctx := stream.Context()
	if r.Timeout != 0 {
		r.Deadline = time.Now().Add(r.Timeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	answer, err := t.Calls.Serve(ctx, r)
	if err != nil {
		refuse(stream, fault.As(err))
		return
	}
	defer answer.Body.Close()
	if err := writeAnswer(stream, answer); err != nil {
		stream.CancelWrite(codeFailed)
		return
	}
	_ = stream.Close()
}

func refuse(stream *quic.Stream, f *fault.Error) {
	packet, err := appendHead(nil, answerHead{Fault: f})
	if err == nil {
		_, err = stream.Write(packet)
	}
	if err != nil {
		stream.CancelWrite(codeFailed)
	}
	_ = stream.Close()
	stream.CancelRead(codeFailed)
}

func writeAnswer(stream *quic.Stream, answer *call.Answer) error {
	packet, err := appendHead(nil, answerHead{
		Status:    answer.Status,
		Header:    answer.Header,
		Length:    answer.Length,
		Load:      answer.Load,
		Server:    answer.Server,
		Allowance: answer.Allowance,
		Replayed:  answer.Replayed,
		Outcome:   answer.Outcome,
	})
	if err != nil {
		return err
	}
	chunk := chunkPool.Get().(*[frameHeaderSize + copyChunkSize]byte)
	defer chunkPool.Put(chunk)
	var total uint64
	for {
		n, err := answer.Body.Read(chunk[frameHeaderSize:])
		if n > 0 {
			total += uint64(n)
			chunk[0] = frameData
			binary.BigEndian.PutUint32(chunk[1:], uint32(n))
			packet = append(packet, chunk[:frameHeaderSize+n]...)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return writeFault(stream, packet, err)
		}
		if _, err := stream.Write(packet); err != nil {
			return err
		}
		packet = packet[:0]
	}
	packet = appendFrame(packet, frameEnd, binary.BigEndian.AppendUint64(nil, total))
	_, err = stream.Write(packet)
	return err
}

func writeFault(stream *quic.Stream, packet []byte, cause error) error {
	payload, err := msgpack.Marshal(fault.As(cause))
	if err != nil {
		return err
	}
	_, err = stream.Write(appendFrame(packet, frameFault, payload))
	return err
}
