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

// fakeNodes answer at once, except that those in hung never answer and those in
// broken send what cannot be read.
type fakeNodes struct {
	count        int
	hung, broken []string

	mu          sync.Mutex
	asked, most int
}

func (f *fakeNodes) enter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked += n
	f.most = max(f.most, f.asked)
}

func (f *fakeNodes) Peers() (reachable, unreachable []string) {
	for i := range f.count {
		reachable = append(reachable, fmt.Sprint("n", i))
	}
	return reachable, []string{"cut"}
}

func (f *fakeNodes) Call(ctx context.Context, id, _ string, _ []byte) ([]byte, error) {
	f.enter(1)
	defer f.enter(-1)
	time.Sleep(10 * time.Millisecond)
	if slices.Contains(f.hung, id) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []byte(id), nil
}

// Guards against a silent or incompatible node that hides the answers of the
// others, against too many questions at once, and against an endless wait.
func TestCollectNamesExactlyTheSilentNodes(t *testing.T) {
	cases := map[string]struct {
		nodes *fakeNodes
		want  []string
		most  time.Duration
	}{
		"all answer": {&fakeNodes{count: 710}, []string{"cut"}, time.Second},
		"some hang":  {&fakeNodes{count: 100, hung: []string{"n0", "n50", "n99"}, broken: []string{"n7"}}, []string{"cut", "n0", "n50", "n7", "n99"}, 4 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, answered := time.Now(), 0
				silent := collect(t.Context(), tc.nodes, "explain", nil, func(id string, reply []byte) error {
					if slices.Contains(tc.nodes.broken, id) {
						return errors.New("unreadable")
					}
					answered++
					assert.Equal(t, string(reply), id)
					return nil
				})
				slices.Sort(silent)
				assert.DeepEqual(t, silent, tc.want)
				assert.Equal(t, answered, tc.nodes.count-len(tc.want)+1)
				assert.Equal(t, tc.nodes.most, maxAsked)
				assert.Assert(t, time.Since(start) <= tc.most, "%v", time.Since(start))
			})
		})
	}
}

// Guards against a region that is cut off and makes the operator wait for one
// second for each group of its nodes.
func TestCollectEndsWhenMostNodesHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &fakeNodes{count: 710}
		nodes.hung, _ = nodes.Peers()
		start := time.Now()
		silent := collect(t.Context(), nodes, "explain", nil, func(string, []byte) error { return nil })
		assert.Equal(t, len(silent), 711)
		assert.Assert(t, time.Since(start) <= collectTimeout+askTimeout, "%v", time.Since(start))
	})
}
