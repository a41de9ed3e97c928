//go:build !race

package member_test

// target is the number of nodes of the target; with the race detector, which
// makes these tests ten times slower, they run with 200 nodes.
const target = 710
