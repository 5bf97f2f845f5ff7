//go:build !race

package daemon

// buildFlags are the flags of a release build.
var buildFlags []string
