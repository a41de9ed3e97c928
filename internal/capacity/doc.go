// Package capacity holds benchmarks that measure how the memory and processor
// time of one node grow with its load. docs/CAPACITY.md is worked out from their
// slopes. All of them are run with
//
//	go test -run xxx -bench . ./internal/capacity
package capacity
