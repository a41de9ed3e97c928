// Package scenario contains end-to-end tests that run nodes and stand-ins for backend
// servers, the store and network paths in separate processes. The scripts are in
// testdata, where commands.md lists their commands.
package scenario
