// Package capacity holds benchmarks that measure how the memory and processor time of
// one node grow with its load. docs/CAPACITY.md is calculated from their slopes. Run
// them with
//
//	go test -run xxx -bench . ./internal/capacity
package capacity
