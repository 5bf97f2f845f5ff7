// Package holdrow shares the held contents of all entries through the table
// row Holds, so that a hold outlives the processes that found it and reaches
// other regions (design, section 10).
package holdrow

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// Key names the row.
const Key = "Holds"

const (
	// readEvery is the mean interval of reading the row, that of the version poll.
	readEvery = 2 * time.Second
	// writeSpread spreads the writes of the entries that learn of a hold at
	// once: those that come later find it in the row and write nothing.
	writeSpread = 200 * time.Millisecond
	// tries bounds the writes that lose against other entries. A hold that is
	// not written is tried again with the next read.
	tries     = 4
	tableWait = time.Second
)

// Counts is a snapshot of the counters.
type Counts struct {
	Reads, Writes, Conflicts, Failed uint64
}

// Sync keeps one entry's holds and the row equal.
type Sync struct {
	clk     citronstream.Clock
	table   citronstream.Table
	holds   *poison.Holds
	learned func([]poison.Report)
	wake    chan struct{}
	pending atomic.Bool // a hold or a lift may be missing from the row

	reads, writes, conflicts, failed atomic.Uint64
}

// New returns a Sync. Learned is told of holds that the row added or lifted.
func New(clk citronstream.Clock, ta citronstream.Table, ho *poison.Holds, learned func([]poison.Report)) *Sync {
	return &Sync{clk: clk, table: ta, holds: ho, learned: learned, wake: make(chan struct{}, 1)}
}

// Counts returns the counters.
func (sy *Sync) Counts() Counts {
	return Counts{Reads: sy.reads.Load(), Writes: sy.writes.Load(), Conflicts: sy.conflicts.Load(), Failed: sy.failed.Load()}
}

// Changed says that this process holds a content newly or lifted a hold. It does not block.
func (sy *Sync) Changed() {
	sy.pending.Store(true)
	select {
	case sy.wake <- struct{}{}:
	default:
	}
}

// Run reads the row, and writes it after a new hold, until ctx ends.
func (sy *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = sy.Step(ctx)
		timer := sy.clk.NewTimer(readEvery*4/5 + rand.N(readEvery*2/5))
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		case <-sy.wake:
			timer.Reset(rand.N(writeSpread))
			select {
			case <-ctx.Done():
			case <-timer.Chan():
			}
		}
		timer.Stop()
	}
}

// Step reads the row once and writes it if a hold of this process is missing.
func (sy *Sync) Step(ctx context.Context) error {
	for range tries {
		pending := sy.pending.Swap(false)
		version, row, err := sy.read(ctx)
		if err == nil && pending && sy.missing(row) {
			err = sy.write(ctx, version)
		}
		if err == nil {
			return nil
		}
		sy.failed.Add(1)
		if pending {
			sy.pending.Store(true)
		}
		if !errors.Is(err, citronstream.ErrConflict) {
			return err
		}
		sy.conflicts.Add(1)
	}
	return citronstream.ErrConflict
}

// read merges the row into the holds.
func (sy *Sync) read(ctx context.Context) (uint64, []poison.Hold, error) {
	ctx, cancel := grant.WithTimeout(ctx, sy.clk, tableWait)
	defer cancel()
	sy.reads.Add(1)
	row, err := sy.table.Get(ctx, Key)
	if errors.Is(err, citronstream.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	var holds []poison.Hold
	if err := json.Unmarshal(row.Value, &holds); err != nil {
		return row.Version, nil, nil //nolint:nilerr // a malformed row is replaced by the next hold
	}
	var fresh, held []poison.Hold
	for _, hold := range holds {
		if _, known := sy.holds.Held(hold.Digest); known {
			held = append(held, hold)
		} else {
			fresh = append(fresh, hold)
		}
	}
	if sy.holds.Import(row.Value) != nil {
		return row.Version, nil, nil
	}
	if reports := append(Reports(fresh, sy.clk.Now()), sy.lifted(held)...); len(reports) > 0 {
		sy.learned(reports)
	}
	return row.Version, holds, nil
}

// lifted reports the holds that another entry's operator lifted.
func (sy *Sync) lifted(held []poison.Hold) []poison.Report {
	var reports []poison.Report
	for _, hold := range held {
		if _, still := sy.holds.Held(hold.Digest); !still && !hold.Lifted.IsZero() {
			reports = append(reports, poison.Report{ID: citronstream.NewID(), Upstream: hold.Upstream, At: hold.Lifted, Lifted: []uint64{hold.Digest}})
		}
	}
	return reports
}

// missing says that the row lacks a hold or a lift of this process.
func (sy *Sync) missing(row []poison.Hold) bool {
	known := make(map[uint64]poison.Hold, len(row))
	for _, hold := range row {
		known[hold.Digest] = hold
	}
	for _, hold := range Holds(sy.holds) {
		if in := known[hold.Digest]; hold.Until.After(in.Until) || hold.Lifted.After(in.Lifted) {
			return true
		}
	}
	return false
}

func (sy *Sync) write(ctx context.Context, version uint64) error {
	value, err := sy.holds.Export()
	if err != nil {
		return err
	}
	ctx, cancel := grant.WithTimeout(ctx, sy.clk, tableWait)
	defer cancel()
	sy.writes.Add(1)
	// A lost answer leaves the hold pending; the next step finds it in the row.
	return sy.table.Write(ctx, citronstream.NewID(), citronstream.Op{Key: Key, Value: value, IfVersion: version})
}

// Holds returns the holds that a process would export.
func Holds(ho *poison.Holds) []poison.Hold {
	value, err := ho.Export()
	if err != nil {
		return nil
	}
	var holds []poison.Hold
	_ = json.Unmarshal(value, &holds) // an export is valid
	return holds
}

// Reports tells an agent of holds in force. Holds of one upstream and time
// share a report, as the death that caused them did.
func Reports(holds []poison.Hold, now time.Time) []poison.Report {
	type death struct {
		upstream string
		at       time.Time
	}
	at := make(map[death]int)
	var reports []poison.Report
	for _, hold := range holds {
		if !hold.At.After(hold.Lifted) || !now.Before(hold.Until) {
			continue
		}
		de := death{hold.Upstream, hold.At}
		i, ok := at[de]
		if !ok {
			i = len(reports)
			at[de] = i
			reports = append(reports, poison.Report{ID: Key + "/" + hold.Upstream + "/" + hold.At.UTC().Format(time.RFC3339Nano), Upstream: hold.Upstream, At: hold.At})
		}
		reports[i].Held = append(reports[i].Held, hold.Digest)
	}
	return reports
}
