// Package entry is the command `citronstream entry`.
package entry

import (
	"context"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/process/daemon"
	"github.com/go-logr/logr"
)

// Command runs an entry, which serves requests until it receives a signal to stop.
type Command struct {
	Settings string `required:"" help:"Settings document of the process." type:"existingfile"`
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, clk citronstream.Clock, lo *operate.Loader, log logr.Logger) error {
	set, err := lo.Settings(co.Settings)
	if err != nil {
		return err
	}
	da, err := daemon.New(clk, set, lo.Checker(), log)
	if err != nil {
		return err
	}
	return da.Entry(ctx)
}
