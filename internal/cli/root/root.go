// Package root is the command line of citronstream.
package root

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/demo"
	"github.com/citronstream/citronstream/internal/cli/local"
	"github.com/citronstream/citronstream/internal/cli/soak"
	"github.com/citronstream/citronstream/internal/proof/faults"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
)

// commands are the subcommands.
type commands struct {
	Demo  demo.Command  `cmd:"" help:"Put a load on a local fleet and print the outcome."`
	Soak  soak.Command  `cmd:"" help:"Run a local fleet under faults drawn from a seed."`
	Local local.Command `cmd:"" help:"Run a whole fleet with stand-ins in one process."`
}

// Root is the command line.
type Root struct {
	out, err io.Writer
}

// New returns the command line on the standard streams.
func New() *Root { return &Root{out: os.Stdout, err: os.Stderr} }

// Run runs one command and returns the exit code: 0 for success, 1 for a
// failure or faults found, 2 for a wrong command line.
func (ro *Root) Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cmds commands
	exit := -1
	parser, err := kong.New(&cmds, kong.Name("citronstream"), kong.UsageOnError(),
		kong.Description("Serves multi-stage model pipelines and the plain services beside them."),
		kong.Vars{"faults": strings.Join(faults.Kinds(), ", ")},
		kong.Writers(ro.out, ro.err), kong.Exit(func(code int) { exit = code }))
	if err != nil {
		panic(err) // the grammar is a constant of the program
	}
	kctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		parser.Errorf("%s", err)
		return 2
	}
	kctx.BindTo(ctx, (*context.Context)(nil))
	kctx.BindTo(ro.out, (*io.Writer)(nil))
	kctx.BindTo(clockwork.NewRealClock(), (*citronstream.Clock)(nil))
	kctx.Bind(ro.logger())
	if err := kctx.Run(); err != nil {
		parser.Errorf("%s", err)
		return 1
	}
	return 0
}

func (ro *Root) logger() logr.Logger {
	return funcr.NewJSON(func(line string) { _, _ = io.WriteString(ro.err, line+"\n") }, funcr.Options{LogTimestamp: true})
}
