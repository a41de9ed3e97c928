package tcp

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a sender that holds up its receiver with a few bytes at a time, and
// against a limit on work before the first byte or on a part that has arrived.
func TestPartsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		// send is sent byte by byte; a space is a pause of 600 ms.
		send string
		// parts are the lengths of the parts.
		parts []int
		err   error
	}{
		"long work before the first byte": {"   ab", []int{2}, nil},
		"part within the limit":           {"a b", []int{2}, nil},
		"part over the limit":             {"a b c d", []int{4}, ErrTooSlow},
		"silence within a part":           {"a       b", []int{2}, ErrTooSlow},
		"each part has its own limit":     {"a b c d e f", []int{2, 2, 2}, nil},
		"work between parts":              {"a    b   c", []int{1, 1, 1}, nil},
		"late part":                       {"a     b c d", []int{1, 3}, ErrTooSlow},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				var sender sync.WaitGroup
				defer sender.Wait()
				defer near.Close()
				sender.Go(func() {
					defer far.Close()
					for part := range strings.SplitAfterSeq(c.send, " ") {
						_, _ = io.WriteString(far, strings.TrimSpace(part))
						time.Sleep(600 * time.Millisecond)
					}
				})
				conn := &Conn{Conn: near}
				var err error
				for _, n := range c.parts {
					if err == nil {
						_, err = io.ReadFull(conn, make([]byte, n))
						conn.Next()
					}
				}
				assert.Equal(t, err, c.err)
			})
		})
	}
}

// Guards against bytes that count as late although they arrived while this process was
// stalled.
func TestStallOfTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		go func() { _, _ = io.WriteString(far, "abcd") }()
		conn := &Conn{Conn: near}
		_, err := io.ReadFull(conn, make([]byte, 1))
		assert.NilError(t, err)
		time.Sleep(3 * defaultTimeout) // nothing is read meanwhile
		_, err = io.ReadFull(conn, make([]byte, 3))
		assert.NilError(t, err)
		assert.Equal(t, conn.Received(), int64(4))
	})
}
