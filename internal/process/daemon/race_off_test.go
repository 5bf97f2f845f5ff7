//go:build !race

package daemon

// buildFlags build the daemons as they are shipped.
var buildFlags []string
