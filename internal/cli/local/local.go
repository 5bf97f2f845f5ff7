// Package local is the command `citronstream local`.
package local

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/process/local"
	"github.com/go-logr/logr"
)

// Command starts a whole fleet on loopback and serves until it is interrupted.
type Command struct {
	Settings string `help:"Settings file with a Fleet." type:"existingfile" default:"examples/magnolia.json"`
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, out io.Writer, clk citronstream.Clock, log logr.Logger) error {
	data, err := os.ReadFile(co.Settings)
	if err != nil {
		return err
	}
	set, faults := check.New().Settings(data)
	if check.Failed(faults) || set.Fleet == nil {
		return fmt.Errorf("--settings: %s has faults, see citronstream check %s", co.Settings, co.Settings)
	}
	fl, err := local.New(ctx, clk, set.Fleet, local.WithLog(log))
	if err != nil {
		return err
	}
	defer fl.Stop()
	if err := fl.Ready(ctx); err != nil {
		return err
	}
	stop, err := serveOperators(ctx, clk, fl)
	if err != nil {
		return err
	}
	defer stop()
	printExamples(out, set.Fleet)
	if _, err := fmt.Fprintf(out, "try: citronstream status --settings %s\n", co.Settings); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// printExamples prints the address of the first entry and an example request.
func printExamples(out io.Writer, fl *citronstream.Fleet) {
	url := "http://" + fl.Entries[0].Address
	_, _ = fmt.Fprintf(out, "serving %s at %s\n", fl.Site, url)
	if len(fl.Pipelines) > 0 && len(fl.Workspaces) > 0 {
		_, _ = fmt.Fprintf(out, "try: curl -N -H 'X-Workspace: %s' -d '{\"prompt\":\"which gasket fits a 6 l cooker?\",\"max_tokens\":24,\"stream\":true}' %s/v1/pipelines/%s\n",
			fl.Workspaces[0].Name, url, fl.Pipelines[0].Name)
	}
}
