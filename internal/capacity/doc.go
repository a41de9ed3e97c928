// Package capacity holds benchmarks that measure how the memory and processor time of
// one node grow with its load. docs/CAPACITY.md is calculated from their slopes. Run
// them with
//
//	go test -run xxx -bench . ./internal/capacity
//
// The target is the largest planned deployment, which has 710 nodes and serves 87,000
// calls per second. Constants with the prefix target describe one of its nodes. The
// measured node runs with the state of the target in a process of its own.
package capacity
