// Command citronstream serves multi-stage model pipelines and plain services.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/citronstream/citronstream/internal/cli/root"
)

func main() {
	// The daemons reload their settings at SIGHUP. A SIGHUP during their start must
	// not end them; they have not read their settings yet.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(root.New().Run(os.Args[1:]))
}
