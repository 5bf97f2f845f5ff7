package version

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// settlePause is the wait between attempts to learn the outcome of a write.
const settlePause = 200 * time.Millisecond

// Accept offers a fleet as the successor of version base, and returns its
// version. Errors: *ConflictError if another change was accepted first;
// ErrUnknownOutcome if the answer was lost and ctx ended before the table
// told the outcome; any other error means that the change was not accepted.
func (st *Store) Accept(ctx context.Context, base uint64, fl *citronstream.Fleet, author string) (uint64, error) {
	rec, rowVersion, err := st.read(ctx)
	if err != nil {
		return 0, fmt.Errorf("read the current version: %w", err)
	}
	if rec.Version != base {
		return 0, st.conflict(ctx, base, rec, fl)
	}
	marks, err := st.history(ctx) // after the row, whose condition covers both
	if err != nil {
		return 0, fmt.Errorf("read the history: %w", err)
	}
	next := *fl
	next.Version = base + 1
	body, digest, err := Encode(&next)
	if err != nil {
		return 0, err
	}
	do := Document{Body: body, Record: Record{
		Version: next.Version, Document: objectPrefix + digest, Digest: digest,
		OpID: citronstream.NewID(), Author: author, At: st.clk.Now().UTC(),
	}}
	marks = append([]Mark{{next.Version, do.Record.OpID, author}}, marks[:min(len(marks), historyKept-1)]...)
	if err := st.objects.Put(ctx, do.Record.Document, body); err != nil {
		return 0, fmt.Errorf("store the document: %w", err)
	}
	do.Record.Delta = st.putDelta(ctx, do)
	if err := st.write(ctx, do.Record, marks, rowVersion); err != nil {
		return 0, st.refused(ctx, err, base, &next)
	}
	return next.Version, st.adopt(do)
}

// write puts the record and the history on the condition that the record's row
// is unchanged. A lost answer is settled by reading: our operation identifier
// in the row, or in the history, means success.
func (st *Store) write(ctx context.Context, rec Record, marks []Mark, rowVersion uint64) error {
	ops, err := operations(rec, marks, rowVersion)
	if err != nil {
		return err
	}
	err = st.table.Write(ctx, rec.OpID, ops...)
	if !errors.Is(err, citronstream.ErrUnknownOutcome) && !interrupted(err) {
		return err
	}
	for try := 0; ; try++ {
		now, accepted, err := st.settled(ctx, rec.OpID)
		switch {
		case err == nil && accepted:
			return nil
		case err == nil && now >= rec.Version:
			return citronstream.ErrConflict
		case err == nil:
			// Not applied yet: the same transaction with the same identifier.
			if err = st.table.Write(ctx, rec.OpID, ops...); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", citronstream.ErrUnknownOutcome, context.Cause(ctx))
		default:
		}
		if try == 0 && (errors.Is(err, citronstream.ErrConflict) || errors.Is(err, citronstream.ErrUnknownOutcome)) {
			continue // the next read settles it in the ordinary case
		}
		select {
		case <-ctx.Done():
		case <-st.clk.After(settlePause):
		}
	}
}

// interrupted reports whether the call ended by its context, which says
// nothing about the write.
func interrupted(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// operations are the writes of an accepted version.
func operations(rec Record, marks []Mark, rowVersion uint64) ([]citronstream.Op, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return nil, err
	}
	history, err := json.Marshal(marks)
	return []citronstream.Op{
		{Key: RowKey, Value: value, IfVersion: rowVersion},
		{Key: HistoryKey, Value: history, IfVersion: citronstream.AnyVersion},
	}, err
}

// settled returns the version in the table and whether an operation is among
// those that led to it. The history is read after the row, so that it has all
// that the row followed.
func (st *Store) settled(ctx context.Context, opID string) (now uint64, accepted bool, err error) {
	rec, _, err := st.read(ctx)
	if err != nil || rec.OpID == opID {
		return rec.Version, err == nil, err
	}
	marks, err := st.history(ctx)
	return rec.Version, slices.ContainsFunc(marks, func(ma Mark) bool { return ma.OpID == opID }), err
}

// refused turns a failed condition into a ConflictError that names the winner.
func (st *Store) refused(ctx context.Context, err error, base uint64, fl *citronstream.Fleet) error {
	if !errors.Is(err, citronstream.ErrConflict) {
		return fmt.Errorf("write version %d: %w", base+1, err)
	}
	rec, _, readErr := st.read(ctx)
	if readErr != nil {
		return fmt.Errorf("write version %d: %w; the winner is unknown: %w", base+1, err, readErr)
	}
	return st.conflict(ctx, base, rec, fl)
}

func (st *Store) conflict(ctx context.Context, base uint64, winner Record, fl *citronstream.Fleet) error {
	ce := &ConflictError{Base: base, Winner: winner}
	if do, err := st.document(ctx, winner); err == nil {
		if theirs, err := Decode(do); err == nil {
			ce.Changes = Diff(theirs, fl)
		}
	}
	return ce
}
