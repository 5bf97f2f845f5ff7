package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// flushTimeout bounds one flush. It is shorter than the interval, so that a
// table that doesn't answer can't delay the next flush.
const flushTimeout = 10 * time.Second

// Flush writes the usage counted since the last flush. Records that the table
// did not confirm are kept unchanged and written again first; until then new
// usage accumulates in the bounded rows. Errors are those of
// citronstream.Table.
func (le *Ledger) Flush(ctx context.Context) error {
	select {
	case le.flushing <- struct{}{}:
		defer func() { <-le.flushing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := le.drain(ctx); err != nil {
		return err
	}
	le.seal()
	return le.drain(ctx)
}

// seal turns the counted usage into records.
func (le *Ledger) seal() {
	now := le.clk.Now().UTC()
	for rows := range slices.Chunk(le.takeRows(), deltaRows) {
		le.seq++
		le.pending = append(le.pending, Delta{
			Process: le.process, Epoch: le.epoch, Seq: le.seq, OpID: citronstream.NewID(), At: now, Rows: rows,
		})
	}
	le.pendingCount.Store(int64(len(le.pending)))
}

// drain writes the pending records in order.
func (le *Ledger) drain(ctx context.Context) error {
	for len(le.pending) > 0 {
		foreign, err := le.write(ctx, le.pending[0])
		if err != nil {
			return fmt.Errorf("cost record %s: %w", le.pending[0].Path(), err)
		}
		if foreign {
			le.renumber()
			continue
		}
		le.pending = le.pending[1:]
		le.pendingCount.Store(int64(len(le.pending)))
	}
	return nil
}

// write writes one record if its key is absent. It returns true if the key
// holds another process's record.
func (le *Ledger) write(ctx context.Context, de Delta) (bool, error) {
	value, err := json.Marshal(de)
	if err != nil {
		return false, err
	}
	err = le.table.Write(ctx, de.OpID, citronstream.Op{Key: de.Path(), Value: value})
	if !errors.Is(err, citronstream.ErrConflict) {
		return false, err
	}
	row, err := le.table.Get(ctx, de.Path())
	if err != nil {
		return false, err
	}
	return !bytes.Equal(row.Value, value), nil
}

// renumber gives the pending records the next sequence numbers, because
// another process with the same name and epoch has written a record under the
// first one. The usage of both counts.
func (le *Ledger) renumber() {
	for i := range le.pending {
		le.pending[i].Seq++
	}
	le.seq++
}

// Run flushes at the interval, with a jitter of a quarter so that processes that
// start together do not flush together. When ctx ends it flushes a last time.
// The channel then delivers the error of that flush and is closed.
func (le *Ledger) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		defer close(ended)
		for {
			timer := le.clk.NewTimer(time.Duration(float64(le.interval) * (0.75 + rand.Float64()/2)))
			select {
			case <-ctx.Done():
				timer.Stop()
				ended <- le.flushWithin(context.WithoutCancel(ctx))
				return
			case <-timer.Chan():
				// A failed flush shows in Pending, and the next flush repeats
				// the record.
				_ = le.flushWithin(ctx)
			}
		}
	}()
	return ended
}

func (le *Ledger) flushWithin(ctx context.Context) error {
	// clockwork.WithTimeout is not used: Err of its fake context blocks until
	// the context ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer le.clk.AfterFunc(flushTimeout, cancel).Stop()
	return le.Flush(ctx)
}
