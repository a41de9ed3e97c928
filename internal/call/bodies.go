package call

import "sync/atomic"

// BodyMemory bounds the memory of all request bodies that a node holds at a time:
// thousands of connections may each send one. The zero value has no bound.
type BodyMemory struct {
	// Max is the bound in bytes; zero means none.
	Max  int64
	held atomic.Int64
}

// Take adds n bytes and reports whether they are within the bound; if not,
// nothing is added.
func (b *BodyMemory) Take(n int) bool {
	if held := b.held.Add(int64(n)); b.Max > 0 && held > b.Max {
		b.held.Add(int64(-n))
		return false
	}
	return true
}

// Release gives bytes back that were taken.
func (b *BodyMemory) Release(n int) { b.held.Add(int64(-n)) }

// Held returns how many bytes are taken.
func (b *BodyMemory) Held() int64 { return b.held.Load() }
