//go:build race

package pacing

// maxServers bounds the emulated servers: with the race detector 300 take minutes.
const maxServers = 30
