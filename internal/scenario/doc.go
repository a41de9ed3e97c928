// Package scenario holds scripted scenarios with separate processes: nodes,
// stand-ins of backend servers, of the store and of network paths. The scripts
// are in testdata; commands.md beside them lists the commands.
package scenario
