//go:build !race

package pacing

// maxServers is above the number of servers of every test, because only runs with the
// race detector are bounded.
const maxServers = 1 << 20
