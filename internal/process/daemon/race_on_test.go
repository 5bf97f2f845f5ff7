//go:build race

package daemon

// buildFlags build the daemons with the race detector if the test has it.
var buildFlags = []string{"-race"}
