package http1

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a busy loop on the closed listener while the last requests are
// in flight.
func TestDrainDoesNotSpin(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: func(context.Context, *http.Request, []byte) *http.Response {
		close(entered)
		<-release
		return Text(http.StatusOK, "done")
	}}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + s.Addr() + "/")
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	<-entered
	before := cpuTime(t)
	time.AfterFunc(400*time.Millisecond, func() { close(release) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.Equal(t, s.Drain(ctx, time.Millisecond), 0)
	used := cpuTime(t) - before
	assert.NilError(t, <-answered)
	// A busy loop uses all of the 400 ms, polling only a few percent.
	assert.Assert(t, used < 200*time.Millisecond, "the drain used %s of processor time", used)
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
