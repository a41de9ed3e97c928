//go:build !race

package member_test

// target is the number of nodes in the largest supported cluster. With the race
// detector, which makes these tests ten times slower, it is 200.
const target = 710
