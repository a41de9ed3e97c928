package peer

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a head over the frame limit, which ends the connection and with it the
// requests of others.
func TestLargeHeadEndsOneRequest(t *testing.T) {
	large := make([]byte, maxFrameSize+1)
	for name, c := range map[string]struct {
		request, answer []byte
		want            error
	}{
		"of a request": {large, nil, ErrHeadTooLarge},
		"of an answer": {nil, large, ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			finish := make(chan struct{})
			client, addr := start(t, func(_ context.Context, r Incoming) Reply {
				if string(r.Head) == "other" {
					<-finish
					return Reply{Head: r.Head}
				}
				return Reply{Head: c.answer}
			})
			l, err := client.link(t.Context(), addr)
			assert.NilError(t, err)
			other, err := l.open(Request{Head: []byte("other")})
			assert.NilError(t, err)
			_, err = client.Call(t.Context(), addr, Request{Head: c.request})
			assert.Check(t, errors.Is(err, c.want), "%v", err)
			close(finish)
			assert.NilError(t, other.awaitHead(t.Context(), 0))
		})
	}
}

// FuzzReadFrame checks that malformed input from a peer causes no panic, and that no
// memory is allocated for a length that exceeds the data.
func FuzzReadFrame(f *testing.F) {
	f.Add(append(appendHeader(nil, frameOpen, 1, 2), "hi"...))
	f.Add(appendHeader(nil, frameData, 1, maxFrameSize+1))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bytes.NewReader(raw)
		for {
			got, err := readFrame(r)
			if err != nil {
				return
			}
			assert.Assert(t, len(got.payload) <= len(raw))
		}
	})
}
