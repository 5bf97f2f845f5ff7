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
	"github.com/citronstream/citronstream/internal/cli/agent"
	"github.com/citronstream/citronstream/internal/cli/apply"
	"github.com/citronstream/citronstream/internal/cli/check"
	"github.com/citronstream/citronstream/internal/cli/cost"
	"github.com/citronstream/citronstream/internal/cli/demo"
	"github.com/citronstream/citronstream/internal/cli/doubts"
	"github.com/citronstream/citronstream/internal/cli/drain"
	"github.com/citronstream/citronstream/internal/cli/entry"
	"github.com/citronstream/citronstream/internal/cli/explain"
	"github.com/citronstream/citronstream/internal/cli/gateway"
	"github.com/citronstream/citronstream/internal/cli/holds"
	"github.com/citronstream/citronstream/internal/cli/inventory"
	"github.com/citronstream/citronstream/internal/cli/local"
	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/cli/soak"
	"github.com/citronstream/citronstream/internal/cli/standin"
	"github.com/citronstream/citronstream/internal/cli/status"
	"github.com/citronstream/citronstream/internal/cli/timeline"
	"github.com/citronstream/citronstream/internal/cli/version"
	"github.com/citronstream/citronstream/internal/cli/where"
	checker "github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/proof/faults"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	"github.com/willabides/kongplete"
)

// commands is the grammar of the command line: a field for each command.
type commands struct {
	Check     check.Command     `cmd:"" help:"Check settings documents and list all faults."`
	Inventory inventory.Command `cmd:"" help:"Work on the inventory of a fleet."`
	Apply     apply.Command     `cmd:"" help:"Show the difference to the accepted configuration and replace it."`

	Entry   entry.Command   `cmd:"" help:"Run an entry, which serves callers."`
	Agent   agent.Command   `cmd:"" help:"Run the agent of one upstream."`
	Gateway gateway.Command `cmd:"" help:"Run an entry on the users' platform, which lists its servers itself."`
	Standin standin.Command `cmd:"" help:"Run stand-ins for the platform and the upstreams of a fleet."`

	Status   status.Command   `cmd:"" help:"Show the processes of a fleet and their versions."`
	Drain    drain.Command    `cmd:"" help:"Take an entry or an agent out of service."`
	Holds    holds.Command    `cmd:"" help:"List or lift the holds on content that crashes upstreams."`
	Doubts   doubts.Command   `cmd:"" help:"List or lift the intervals in which calls may have run without a record."`
	Timeline timeline.Command `cmd:"" help:"Show the events of all processes in causal order."`
	Explain  explain.Command  `cmd:"" help:"Show the log lines of gateways that belong to a request."`
	Where    where.Command    `cmd:"" help:"Show where a request or a job would go now, and why, as a gateway sees it."`
	Cost     cost.Command     `cmd:"" help:"Report the usage of a day and export its records."`

	Demo  demo.Command  `cmd:"" help:"Send load to a local fleet and print a report."`
	Soak  soak.Command  `cmd:"" help:"Run a local fleet under faults drawn from a seed."`
	Local local.Command `cmd:"" help:"Run a whole fleet with stand-ins in one process."`

	Version    version.Command              `cmd:"" help:"Print the version."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print or install shell completions."`
}

// description is shown at the top of the help text. Scripts rely on the exit codes.
const description = `Serves multi-stage model pipelines and the plain services beside them.

Exit codes: 0 for success, 1 for a failure or faults found, 2 for a wrong command line.`

// newChecker returns a checker that knows the registered protocols and policies.
func newChecker() *checker.Checker {
	return checker.New(checker.WithProtocols(protocol.Names()...), checker.WithPolicies(policy.Names()...))
}

func (ro *Root) newCommands(ch *checker.Checker) *commands {
	return &commands{
		Check:     *check.New(check.WithChecker(ch), check.WithOutput(ro.out)),
		Inventory: *inventory.New(inventory.WithChecker(ch), inventory.WithOutput(ro.out), inventory.WithDiagnostics(ro.err)),
	}
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
	// The first signal restores the default action, so that a second one ends a
	// process that is still draining.
	defer context.AfterFunc(ctx, stop)()
	exit := -1
	ch := newChecker()
	parser, err := kong.New(ro.newCommands(ch), kong.Name("citronstream"), kong.UsageOnError(),
		kong.Description(description),
		kong.Vars{"faults": strings.Join(faults.Kinds(), ", ")},
		kong.Writers(ro.out, ro.err), kong.Exit(func(code int) { exit = code }))
	if err != nil {
		panic(err) // the grammar is fixed at compile time
	}
	kongplete.Complete(parser, kongplete.WithExitFunc(func(code int) { exit = code }))
	if exit >= 0 {
		return exit
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
	kctx.Bind(ro.logger(), operate.NewLoader(ch))
	if err := kctx.Run(); err != nil {
		parser.Errorf("%s", err)
		return 1
	}
	return 0
}

func (ro *Root) logger() logr.Logger {
	return funcr.NewJSON(func(line string) { _, _ = io.WriteString(ro.err, line+"\n") }, funcr.Options{LogTimestamp: true})
}
