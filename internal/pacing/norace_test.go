//go:build !race

package pacing

// maxServers does not bound the emulated servers without the race detector.
const maxServers = 1 << 20
