// Package holdsync synchronizes the held content of all entries through the
// table row Holds, so that a hold outlives the processes that created it and
// reaches other regions (docs/design.md section 10).
package holdsync

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

// Key is the key of the row.
const Key = "Holds"

const (
	// readInterval is the mean interval between reads of the row, as for the version poll.
	readInterval = 2 * time.Second
	// maxWriteDelay spreads the writes of entries that learn of a hold at the
	// same time: the later ones find it in the row and write nothing.
	maxWriteDelay = 200 * time.Millisecond
	// maxAttempts bounds the attempts that fail by a conflict with another entry.
	// A hold that is still not written is retried with the next read.
	maxAttempts  = 4
	tableTimeout = time.Second
)

// Counts is a snapshot of the counters.
type Counts struct {
	Reads, Writes, Conflicts, Failed uint64
}

// Sync synchronizes the holds of one entry with the row.
type Sync struct {
	clk      citronstream.Clock
	table    citronstream.Table
	holds    *poison.Holds
	onChange func([]poison.Report)
	wake     chan struct{}
	pending  atomic.Bool // a hold or a lift may be missing from the row

	reads, writes, conflicts, failed atomic.Uint64
}

// New returns a Sync. It calls onChange with the holds that the row added or lifted.
func New(clk citronstream.Clock, ta citronstream.Table, ho *poison.Holds, onChange func([]poison.Report)) *Sync {
	return &Sync{clk: clk, table: ta, holds: ho, onChange: onChange, wake: make(chan struct{}, 1)}
}

// Counts returns the counters.
func (sy *Sync) Counts() Counts {
	return Counts{Reads: sy.reads.Load(), Writes: sy.writes.Load(), Conflicts: sy.conflicts.Load(), Failed: sy.failed.Load()}
}

// Changed reports that this process added or lifted a hold. It does not block.
func (sy *Sync) Changed() {
	sy.pending.Store(true)
	select {
	case sy.wake <- struct{}{}:
	default:
	}
}

// Run reads the row periodically and writes it after Changed, until ctx ends.
func (sy *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = sy.Step(ctx)
		timer := sy.clk.NewTimer(readInterval*4/5 + rand.N(readInterval*2/5))
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		case <-sy.wake:
			timer.Reset(rand.N(maxWriteDelay))
			select {
			case <-ctx.Done():
			case <-timer.Chan():
			}
		}
		timer.Stop()
	}
}

// Step reads the row and writes it if a hold or lift of this process is missing.
func (sy *Sync) Step(ctx context.Context) error {
	for range maxAttempts {
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
	ctx, cancel := grant.WithTimeout(ctx, sy.clk, tableTimeout)
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
		return row.Version, nil, nil //nolint:nilerr // the next hold replaces a malformed row
	}
	var added, held []poison.Hold
	for _, hold := range holds {
		if _, known := sy.holds.Held(hold.Digest); known {
			held = append(held, hold)
		} else {
			added = append(added, hold)
		}
	}
	if sy.holds.Import(row.Value) != nil {
		return row.Version, nil, nil
	}
	if reports := append(Reports(added, sy.clk.Now()), sy.lifted(held)...); len(reports) > 0 {
		sy.onChange(reports)
	}
	return row.Version, holds, nil
}

// lifted returns reports of holds that were lifted at another entry.
func (sy *Sync) lifted(held []poison.Hold) []poison.Report {
	var reports []poison.Report
	for _, hold := range held {
		if _, still := sy.holds.Held(hold.Digest); !still && !hold.Lifted.IsZero() {
			reports = append(reports, poison.Report{ID: citronstream.NewID(), Upstream: hold.Upstream, At: hold.Lifted, Lifted: []uint64{hold.Digest}})
		}
	}
	return reports
}

// missing reports whether the row lacks a hold or lift of this process.
func (sy *Sync) missing(row []poison.Hold) bool {
	known := make(map[uint64]poison.Hold, len(row))
	for _, hold := range row {
		known[hold.Digest] = hold
	}
	for _, hold := range Holds(sy.holds) {
		if stored := known[hold.Digest]; hold.Until.After(stored.Until) || hold.Lifted.After(stored.Lifted) {
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
	ctx, cancel := grant.WithTimeout(ctx, sy.clk, tableTimeout)
	defer cancel()
	sy.writes.Add(1)
	// If the answer is lost, the hold stays pending and the next step finds it in the row.
	return sy.table.Write(ctx, citronstream.NewID(), citronstream.Op{Key: Key, Value: value, IfVersion: version})
}

// Holds returns the holds that Export would write.
func Holds(ho *poison.Holds) []poison.Hold {
	value, err := ho.Export()
	if err != nil {
		return nil
	}
	var holds []poison.Hold
	_ = json.Unmarshal(value, &holds) // an export is valid
	return holds
}

// Reports returns the reports that tell an agent the holds in force. Holds with
// the same upstream and time come from one death and share a report.
func Reports(holds []poison.Hold, now time.Time) []poison.Report {
	type death struct {
		upstream string
		at       time.Time
	}
	byDeath := make(map[death]int)
	var reports []poison.Report
	for _, hold := range holds {
		if !hold.At.After(hold.Lifted) || !now.Before(hold.Until) {
			continue
		}
		de := death{hold.Upstream, hold.At}
		i, ok := byDeath[de]
		if !ok {
			i = len(reports)
			byDeath[de] = i
			reports = append(reports, poison.Report{ID: Key + "/" + hold.Upstream + "/" + hold.At.UTC().Format(time.RFC3339Nano), Upstream: hold.Upstream, At: hold.At})
		}
		reports[i].Held = append(reports[i].Held, hold.Digest)
	}
	return reports
}
