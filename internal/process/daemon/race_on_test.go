//go:build race

package daemon

// buildFlags build the daemons with the race detector, like the test itself.
var buildFlags = []string{"-race"}
