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
	"github.com/citronstream/citronstream/internal/proof/faults"
	"github.com/citronstream/citronstream/internal/proof/load"
	"github.com/citronstream/citronstream/internal/proof/trial"
	"github.com/go-logr/logr"
)

// Command sends load to a local fleet and prints a report.
type Command struct {
	Settings string         `help:"Settings file with a Fleet." type:"existingfile" default:"examples/magnolia.json"`
	Seed     uint64         `help:"Seed of the load and of the faults." default:"1"`
	Duration time.Duration  `help:"How long requests are sent." default:"10s"`
	Rate     float64        `help:"Requests a second; 0 takes half of what the engines can do."`
	Scale    float64        `help:"Fraction of the fleet's instances, upstreams and load, above 0 and up to 1." default:"1"`
	Fault    []faults.Fault `help:"Fault to inject, as KIND@TIME; repeatable. Kinds: ${faults}." placeholder:"KIND@TIME"`
	Timeline string         `help:"Write the timeline of a request to standard error: an identifier, a code such as deadline, or slowest."`
	JSON     bool           `help:"Print the outcome as one JSON object on the last line." name:"json"`
}

// Validate is called by kong.
func (co *Command) Validate() error {
	switch {
	case co.Scale <= 0 || co.Scale > 1:
		return fmt.Errorf("--scale: must be above 0 and up to 1, got %g", co.Scale)
	case co.Duration <= 0:
		return fmt.Errorf("--duration: must be positive, got %s", co.Duration)
	case co.Rate < 0:
		return fmt.Errorf("--rate: must not be negative, got %g", co.Rate)
	}
	return nil
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, out io.Writer, clk citronstream.Clock, log logr.Logger) error {
	data, err := os.ReadFile(co.Settings)
	if err != nil {
		return err
	}
	set, found := check.New().Settings(data)
	if check.Failed(found) || set.Fleet == nil {
		return fmt.Errorf("--settings: %s has faults, see citronstream check %s", co.Settings, co.Settings)
	}
	tr := trial.New(clk, set.Fleet, co.Seed, co.Duration,
		trial.WithLog(log), trial.WithFaults(co.Fault), trial.WithRate(co.Rate), trial.WithScale(co.Scale))
	re, events, err := tr.Run(ctx)
	if err != nil {
		return err
	}
	if err := co.writeTimeline(events, re); err != nil {
		return err
	}
	return co.print(out, re)
}

// writeTimeline writes the events of the request that --timeline selects or, without
// the flag, of the first violation.
func (co *Command) writeTimeline(events []citronstream.Event, re load.Report) error {
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
	return timeline.WriteText(os.Stderr, timeline.ForRequest(events, id))
}

// print writes the report and returns an error if a promise was broken.
func (co *Command) print(out io.Writer, re load.Report) error {
	enc := json.NewEncoder(out)
	if !co.JSON {
		enc.SetIndent("", "  ")
	}
	if err := enc.Encode(re); err != nil {
		return err
	}
	if count := re.Broken(); count > 0 {
		return fmt.Errorf("%d promises were broken", count)
	}
	return nil
}
