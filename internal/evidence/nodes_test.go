package evidence

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeNodes reply after 10 ms, except that nodes in hung never reply and nodes in
// malformed send replies that cannot be decoded.
type fakeNodes struct {
	count           int
	hung, malformed []string

	mu             sync.Mutex
	inFlight, most int
}

func (f *fakeNodes) addInFlight(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight += n
	f.most = max(f.most, f.inFlight)
}

func (f *fakeNodes) Peers() (reachable, unreachable []string) {
	for i := range f.count {
		reachable = append(reachable, fmt.Sprint("n", i))
	}
	return reachable, []string{"cut"}
}

func (f *fakeNodes) Call(ctx context.Context, id, _ string, _ []byte) ([]byte, error) {
	f.addInFlight(1)
	defer f.addInFlight(-1)
	time.Sleep(10 * time.Millisecond)
	if slices.Contains(f.hung, id) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []byte(id), nil
}

// Guards against an unresponsive or incompatible node that hides the replies of the
// others, against too many concurrent calls, and against waiting without a limit.
func TestCollectReturnsUnresponsiveNodes(t *testing.T) {
	cases := map[string]struct {
		nodes *fakeNodes
		want  []string
		most  time.Duration
	}{
		"all answer": {&fakeNodes{count: 710}, []string{"cut"}, time.Second},
		"some hang":  {&fakeNodes{count: 100, hung: []string{"n0", "n50", "n99"}, malformed: []string{"n7"}}, []string{"cut", "n0", "n50", "n7", "n99"}, 4 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, answered := time.Now(), 0
				unresponsive := collect(t.Context(), tc.nodes, "explain", nil, func(id string, reply []byte) error {
					if slices.Contains(tc.nodes.malformed, id) {
						return errors.New("unreadable")
					}
					answered++
					assert.Equal(t, string(reply), id)
					return nil
				})
				slices.Sort(unresponsive)
				assert.DeepEqual(t, unresponsive, tc.want)
				assert.Equal(t, answered, tc.nodes.count-len(tc.want)+1)
				assert.Equal(t, tc.nodes.most, maxConcurrentCalls)
				assert.Assert(t, time.Since(start) <= tc.most, "%v", time.Since(start))
			})
		})
	}
}

// Guards against a partitioned region that makes the operator wait one second for
// each group of its nodes.
func TestCollectTimesOutWhenMostNodesHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &fakeNodes{count: 710}
		nodes.hung, _ = nodes.Peers()
		start := time.Now()
		unresponsive := collect(t.Context(), nodes, "explain", nil, func(string, []byte) error { return nil })
		assert.Equal(t, len(unresponsive), 711)
		assert.Assert(t, time.Since(start) <= collectTimeout+callTimeout, "%v", time.Since(start))
	})
}
