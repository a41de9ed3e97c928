package call

import "sync/atomic"

// BodyMemory limits the total memory of the request bodies that a node holds,
// because thousands of connections may each send one. The zero value has no
// limit.
type BodyMemory struct {
	// Max is the limit in bytes; zero means none.
	Max  int64
	held atomic.Int64
}

// Take reserves n bytes. It reserves nothing and returns false if that would
// exceed the limit.
func (b *BodyMemory) Take(n int) bool {
	if held := b.held.Add(int64(n)); b.Max > 0 && held > b.Max {
		b.held.Add(int64(-n))
		return false
	}
	return true
}

// Release returns n bytes that were reserved with Take.
func (b *BodyMemory) Release(n int) { b.held.Add(int64(-n)) }

// Held returns the number of reserved bytes.
func (b *BodyMemory) Held() int64 { return b.held.Load() }
