package node

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against another node whose request never ends, and holds a stream and the memory
// of its declared body.
func TestEndlessRequestsOfNodesAreBounded(t *testing.T) {
	a := authority(t)
	head, err := appendHead(nil, requestHead{Call: &call.Request{}, Size: 1 << 20})
	assert.NilError(t, err)
	for name, first := range map[string][]byte{
		"header of a frame": head[:2],
		"head":              head[:len(head)-1],
		"body":              head,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far := &Transport{
				ID: "b", MaxBody: 1 << 20, Credentials: credentials(t, a), Bodies: &call.BodyMemory{Max: 1 << 20},
				requestTimeout: 100 * time.Millisecond,
			}
			start(t, far)
			near := listen(t, "a", credentials(t, a), calls(echo))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, stream, err := near.open(ctx, peerOf(far))
			assert.NilError(t, err)
			go func() {
				_, err := stream.Write(first)
				for err == nil && name == "body" {
					_, err = stream.Write([]byte("x"))
					time.Sleep(5 * time.Millisecond)
				}
			}()
			assert.NilError(t, stream.SetReadDeadline(time.Now().Add(10*time.Second)))
			var answer answerHead
			assert.NilError(t, readHead(stream, &answer))
			assert.Equal(t, answer.Fault.Kind, fault.KindBadRequest)
			assert.Equal(t, answer.Fault.Outcome, fault.Refused)
			_, err = io.Copy(io.Discard, stream)
			assert.NilError(t, err)
		})
	}
}

// Guards against an answer of another node that consists of empty frames without end.
func TestEmptyFramesEndAnAnswer(t *testing.T) {
	empty := &emptyFrames{}
	_, err := (&answerBody{reader: empty, declared: -1}).Read(make([]byte, 10))
	assert.Assert(t, fault.Is(err, fault.KindCutShort), "%v", err)
	assert.Equal(t, empty.read, frameHeaderSize)
}

// emptyFrames is a stream of empty data frames.
type emptyFrames struct{ read int }

// Read implements io.Reader.
func (f *emptyFrames) Read(p []byte) (int, error) {
	if f.read > 1<<20 {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range p {
		p[i] = 0
		if (f.read+i)%frameHeaderSize == 0 {
			p[i] = frameData
		}
	}
	f.read += len(p)
	return len(p), nil
}
