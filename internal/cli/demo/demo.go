// Package demo is the command `citronstream demo`.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/process/local"
	"github.com/citronstream/citronstream/internal/proof/faults"
	"github.com/citronstream/citronstream/internal/proof/load"
	"github.com/go-logr/logr"
)

// Command puts a load on a local fleet and prints the outcome.
type Command struct {
	Settings string         `help:"Settings file with a Fleet." type:"existingfile" default:"examples/magnolia.json"`
	Seed     uint64         `help:"Seed of the load and of the faults." default:"1"`
	Duration time.Duration  `help:"How long requests are sent." default:"10s"`
	Rate     float64        `help:"Requests a second; 0 takes half of what the engines can do."`
	Fault    []faults.Fault `help:"Fault to bring about, as KIND@TIME; repeatable. Kinds: ${faults}." placeholder:"KIND@TIME"`
	Timeline string         `help:"Write the timeline of this request to standard error: an identifier, a code such as deadline, or slowest."`
	JSON     bool           `help:"Print the outcome as one JSON object on the last line." name:"json"`
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, out io.Writer, clk citronstream.Clock, log logr.Logger) error {
	data, err := os.ReadFile(co.Settings)
	if err != nil {
		return err
	}
	set, bad := check.New().Settings(data)
	if check.Failed(bad) || set.Fleet == nil {
		return fmt.Errorf("--settings: %s has faults, see citronstream check %s", co.Settings, co.Settings)
	}
	fl, err := local.New(ctx, clk, set.Fleet, local.WithLog(log), local.WithSeed(co.Seed))
	if err != nil {
		return err
	}
	defer fl.Stop()
	if err := fl.Ready(ctx); err != nil {
		return err
	}
	var opts []load.Option
	if co.Rate > 0 {
		opts = append(opts, load.WithRate(co.Rate))
	}
	lo := load.New(clk, set.Fleet, fl.Record, fl, co.Seed, opts...)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer clk.AfterFunc(co.Duration, cancel).Stop()
	in := faults.New(clk, fl, lo, co.Seed)
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		in.Run(runCtx, co.Fault)
	}()
	lo.Run(runCtx)
	<-injected
	re := lo.Report()
	re.Faults = in.Done()
	if err := in.Err(); err != nil {
		return err
	}
	if err := co.timeline(fl, re); err != nil {
		return err
	}
	return co.print(out, re)
}

// timeline writes the events of one request, or of the first violation.
func (co *Command) timeline(fl *local.Fleet, re load.Report) error {
	id := co.Timeline
	if id == "slowest" {
		id = re.Slowest
	}
	if example, ok := re.Examples[id]; ok {
		id = example
	}
	if id == "" && len(re.Violations) > 0 {
		id = re.Violations[0].RequestID
	}
	if id == "" {
		return nil
	}
	return timeline.WriteText(os.Stderr, timeline.Follow(fl.Timeline(), id))
}

func (co *Command) print(out io.Writer, re load.Report) error {
	enc := json.NewEncoder(out)
	if !co.JSON {
		enc.SetIndent("", "  ")
	}
	if err := enc.Encode(re); err != nil {
		return err
	}
	if bad := re.Lost + re.Doubled + re.Crossed + re.FalseNotRun; bad > 0 {
		return fmt.Errorf("%d promises were broken", bad)
	}
	return nil
}
