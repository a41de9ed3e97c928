package daemon

import "runtime/debug"

// LimitMemory sets the collector of the process: growth is the share in percent
// by which the heap may grow between two collections, limit the bytes of the Go
// runtime from which it collects more often. The limit is soft: the collector
// takes at most half of the processor time to keep it.
func LimitMemory(growth int, limit int64) {
	debug.SetGCPercent(growth)
	debug.SetMemoryLimit(limit)
}
