//go:build race

package pacing

// maxServers bounds the number of emulated servers, because runs with 300 servers
// take minutes with the race detector.
const maxServers = 30
