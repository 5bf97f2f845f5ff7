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

// resolveInterval is the wait between attempts to resolve a write of unknown outcome.
const resolveInterval = 200 * time.Millisecond

// Accept proposes a fleet as the successor of version base and returns its version.
// Errors: *ConflictError if another change was accepted first; ErrUnknownOutcome if
// the answer was lost and ctx ended before the outcome could be read from the table;
// any other error means that the change was not accepted.
func (st *Store) Accept(ctx context.Context, base uint64, fl *citronstream.Fleet, author string) (uint64, error) {
	rec, rowVersion, err := st.readRecord(ctx)
	if err != nil {
		return 0, fmt.Errorf("read the current version: %w", err)
	}
	if rec.Version != base {
		return 0, st.conflictError(ctx, base, rec, fl)
	}
	items, err := st.readHistory(ctx) // after the row: the write is conditional on that row only
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
	items = append([]HistoryItem{{next.Version, do.Record.OpID, author}}, items[:min(len(items), maxHistory-1)]...)
	if err := st.objects.Put(ctx, do.Record.Document, body); err != nil {
		return 0, fmt.Errorf("store the document: %w", err)
	}
	do.Record.Delta = st.putDelta(ctx, do)
	if err := st.writeRecord(ctx, do.Record, items, rowVersion); err != nil {
		return 0, st.writeError(ctx, err, base, &next)
	}
	return next.Version, st.install(do)
}

// writeRecord writes the record and the history on condition that the record's row is
// unchanged. If the answer is lost, the outcome is read from the table: this
// operation's identifier in the row or in the history means success.
func (st *Store) writeRecord(ctx context.Context, rec Record, items []HistoryItem, rowVersion uint64) error {
	ops, err := writeOps(rec, items, rowVersion)
	if err != nil {
		return err
	}
	err = st.table.Write(ctx, rec.OpID, ops...)
	if !errors.Is(err, citronstream.ErrUnknownOutcome) && !isContextError(err) {
		return err
	}
	for try := 0; ; try++ {
		now, accepted, err := st.findOperation(ctx, rec.OpID)
		switch {
		case err == nil && accepted:
			return nil
		case err == nil && now >= rec.Version:
			return citronstream.ErrConflict
		case err == nil:
			// Not applied yet: repeat the transaction under the same identifier.
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
			continue // the next read usually resolves it
		}
		select {
		case <-ctx.Done():
		case <-st.clk.After(resolveInterval):
		}
	}
}

// isContextError reports whether the call ended because of its context, which leaves
// the outcome of the write unknown.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// writeOps returns the table operations of an accepted version.
func writeOps(rec Record, items []HistoryItem, rowVersion uint64) ([]citronstream.Op, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return nil, err
	}
	history, err := json.Marshal(items)
	return []citronstream.Op{
		{Key: RowKey, Value: value, IfVersion: rowVersion},
		{Key: HistoryKey, Value: history, IfVersion: citronstream.AnyVersion},
	}, err
}

// findOperation returns the version in the table and whether the operation produced
// that version or one in the history. The history is read after the row, so that it
// includes every version before the one in the row.
func (st *Store) findOperation(ctx context.Context, opID string) (now uint64, accepted bool, err error) {
	rec, _, err := st.readRecord(ctx)
	if err != nil || rec.OpID == opID {
		return rec.Version, err == nil, err
	}
	items, err := st.readHistory(ctx)
	return rec.Version, slices.ContainsFunc(items, func(hi HistoryItem) bool { return hi.OpID == opID }), err
}

// writeError turns a failed write condition into a ConflictError.
func (st *Store) writeError(ctx context.Context, err error, base uint64, fl *citronstream.Fleet) error {
	if !errors.Is(err, citronstream.ErrConflict) {
		return fmt.Errorf("write version %d: %w", base+1, err)
	}
	rec, _, readErr := st.readRecord(ctx)
	if readErr != nil {
		return fmt.Errorf("write version %d: %w; can't read the version that was accepted instead: %w", base+1, err, readErr)
	}
	return st.conflictError(ctx, base, rec, fl)
}

func (st *Store) conflictError(ctx context.Context, base uint64, winner Record, fl *citronstream.Fleet) error {
	ce := &ConflictError{Base: base, Winner: winner}
	if do, err := st.readDocument(ctx, winner); err == nil {
		if theirs, err := Decode(do); err == nil {
			ce.Changes = Diff(theirs, fl)
		}
	}
	return ce
}
