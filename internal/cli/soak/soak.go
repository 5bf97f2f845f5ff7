// Package soak is the command `citronstream soak`.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

// meanFaultInterval is the mean time between two faults.
const meanFaultInterval = 2 * time.Second

// Command runs a local fleet with faults injected at random, from a seed.
type Command struct {
	Settings string        `help:"Settings file with a Fleet." type:"existingfile" default:"examples/magnolia.json"`
	Seed     uint64        `help:"Seed of the load and of the faults." default:"1"`
	Duration time.Duration `help:"How long requests are sent." default:"30s"`
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
	drawn := co.drawFaults()
	re, events, err := trial.New(clk, set.Fleet, co.Seed, co.Duration, trial.WithLog(log), trial.WithFaults(drawn)).Run(ctx)
	if err != nil {
		return err
	}
	for _, text := range re.Faults {
		_, _ = fmt.Fprintln(out, text)
	}
	if re.Broken() > 0 {
		co.printViolations(out, re, events)
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d faults, %d violations\n", co.Seed, re.Sent, len(re.Faults), re.Broken())
	if re.Broken() > 0 {
		return fmt.Errorf("repeat with: citronstream soak --settings %s --seed %d --duration %s", co.Settings, co.Seed, co.Duration)
	}
	return nil
}

// targetedShare is the share of the run in which the targeted faults begin: the
// longest takes 10 s, and its effects must show before the run ends.
const targetedShare = 0.6

// drawFaults chooses faults at random from the seed: about one for each
// meanFaultInterval, some at the same time as another, some twice, and each of the
// targeted ones at least once.
func (co *Command) drawFaults() []faults.Fault {
	rnd := rand.New(rand.NewPCG(co.Seed, 4))
	span := co.Duration * 4 / 5
	drawn := faults.Draw(co.Seed, max(1, int(span/meanFaultInterval)), span)
	for _, fa := range drawn {
		switch rnd.IntN(4) {
		case 0:
			drawn = append(drawn, faults.Fault{Kind: faults.Kinds()[rnd.IntN(len(faults.Kinds()))], At: fa.At})
		case 1:
			drawn = append(drawn, faults.Fault{Kind: fa.Kind, At: fa.At + time.Duration(rnd.Int64N(int64(time.Second)))})
		}
	}
	targeted := faults.Targeted()
	interval := time.Duration(float64(co.Duration)*targetedShare) / time.Duration(len(targeted))
	for i, index := range rnd.Perm(len(targeted)) {
		at := time.Duration(i)*interval + time.Duration(rnd.Int64N(int64(interval)+1))
		drawn = append(drawn, faults.Fault{Kind: targeted[index], At: at})
	}
	return drawn
}

// printViolations prints the violations and the timeline of the first request
// that has one.
func (co *Command) printViolations(out io.Writer, re load.Report, events []citronstream.Event) {
	for _, vi := range re.Violations {
		_, _ = fmt.Fprintf(out, "%s: request %s key %s: %s\n", vi.Kind, vi.RequestID, vi.Key, vi.Detail)
	}
	for _, vi := range re.Violations {
		if vi.RequestID != "" {
			_ = timeline.WriteText(out, timeline.ForRequest(events, vi.RequestID))
			return
		}
	}
}
