// Package standin is the command `citronstream standin`.
package standin

import (
	"context"
	"fmt"
	"io"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/process/standin"
)

// Command runs stand-ins for the platform and the upstreams of a fleet.
type Command struct {
	Settings string   `required:"" help:"Settings document with a Fleet and the addresses of the platform." type:"existingfile"`
	Only     []string `help:"Parts to run, separated by commas: table, objects, weights, list, upstreams. The default is all." placeholder:"PART"`
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, out io.Writer, clk citronstream.Clock, lo *operate.Loader) error {
	set, err := lo.Settings(co.Settings)
	if err != nil {
		return err
	}
	ho, err := standin.New(clk, set, co.Only...)
	if err != nil {
		return fmt.Errorf("--only: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer ho.Wait()
	defer cancel()
	if err := ho.Start(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "stand-ins of %s are ready\n", set.Fleet.Site)
	<-ctx.Done()
	return nil
}
