package tcp

import (
	"cmp"
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
// against a limit on the silence of a sender that is working or stalled.
func TestPartsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		// send is sent byte by byte; a space is a pause.
		send string
		// pause is 600 ms if it is zero.
		pause time.Duration
		// parts are the lengths of the parts.
		parts []int
		err   error
	}{
		"long work before the first byte": {"   ab", 0, []int{2}, nil},
		"part within the limit":           {"a b", 0, []int{2}, nil},
		"silence within a part":           {"a       b", 0, []int{2}, nil},
		"silence of a minute":             {"a b", time.Minute, []int{2}, nil},
		"several silences":                {"a b c d", 0, []int{4}, nil},
		"drips below the limit":           {strings.Repeat("a ", 10), time.Minute, []int{10}, nil},
		"drips":                           {strings.Repeat("a ", 30), 50 * time.Millisecond, []int{30}, ErrTooSlow},
		"slow drips":                      {strings.Repeat("a ", 11), 0, []int{11}, ErrTooSlow},
		"very slow drips":                 {strings.Repeat("a ", 11), time.Minute, []int{11}, ErrTooSlow},
		"each part has its own limit":     {strings.Repeat("a ", 30), 0, []int{10, 10, 10}, nil},
		"work between parts":              {"a    b   c", 0, []int{1, 1, 1}, nil},
		"late part":                       {"a     " + strings.Repeat("a ", 11), 0, []int{1, 11}, ErrTooSlow},
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
						time.Sleep(cmp.Or(c.pause, 600*time.Millisecond))
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
