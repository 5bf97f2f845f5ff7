package tracker

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
)

// maxWriteRounds limits the transactions per group: after a conflict, keys that
// already have a row are removed.
const maxWriteRounds = 8

// rowWrite is a tracked key whose row is to be written, and the version that its row must have.
type rowWrite struct {
	tracked trackedKey
	version uint64
}

// Resolve writes the rows of all keys tracked for the upstream up to this epoch,
// and refuses later calls of these epochs. It returns the start time of this
// process. After an error, some row may be missing.
func (tr *Tracker) Resolve(ctx context.Context, upstream string, epoch uint64) (time.Time, error) {
	tr.resolveCalls.Add(1)
	var items []rowWrite
	tr.mu.Lock()
	tr.resolvedEpochs[upstream] = max(tr.resolvedEpochs[upstream], epoch)
	for _, tk := range tr.keys {
		if tk.id.upstream == upstream && tk.epoch <= epoch {
			items = append(items, rowWrite{tracked: *tk})
		}
	}
	tr.mu.Unlock()
	for len(items) > 0 {
		n := min(maxGroupRows, len(items))
		if err := tr.writeGroup(ctx, items[:n]); err != nil {
			return tr.started, err
		}
		tr.dropWritten(items[:n])
		items = items[n:]
	}
	return tr.started, nil
}

// dropWritten drops keys whose rows are written, except those with calls in flight.
func (tr *Tracker) dropWritten(items []rowWrite) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, it := range items {
		if tk := tr.keys[it.tracked.id]; tk != nil && tk.calls == 0 && tk.ran == it.tracked.ran {
			tr.drop(tk)
		}
	}
}

func (tr *Tracker) writeGroup(ctx context.Context, group []rowWrite) error {
	for range maxWriteRounds {
		ops := make([]citronstream.Op, 0, len(group))
		for _, it := range group {
			op, err := tr.op(ctx, it)
			if err != nil {
				return err
			}
			ops = append(ops, op)
		}
		err := tr.table.Write(ctx, citronstream.NewID(), ops...)
		if err == nil {
			tr.written.Add(uint64(len(group)))
			return nil
		}
		if errors.Is(err, citronstream.ErrUnknownOutcome) {
			continue // rows that were written cause conflicts in the next round
		}
		if !errors.Is(err, citronstream.ErrConflict) {
			return err
		}
		if group, err = tr.withoutRow(ctx, group); err != nil {
			return err
		}
		if len(group) == 0 {
			return nil
		}
	}
	return citronstream.ErrUnknownOutcome
}

// withoutRow reads the rows of a group and returns the keys that still need one. A
// released row counts as none, as the key may have been sent again since.
func (tr *Tracker) withoutRow(ctx context.Context, group []rowWrite) (missing []rowWrite, err error) {
	for _, it := range group {
		raw, err := tr.table.Get(ctx, claim.RowKey(it.tracked.id.service, it.tracked.id.workspace, it.tracked.id.key))
		var row claim.Row
		switch {
		case errors.Is(err, citronstream.ErrNotFound):
			it.version = 0
		case err != nil:
			return nil, err
		default:
			if err := json.Unmarshal(raw.Value, &row); err != nil {
				return nil, err
			}
			if row.State == claim.Done || row.State == claim.Claimed && !it.tracked.ran {
				continue
			}
			it.version = raw.Version
		}
		missing = append(missing, it)
	}
	return missing, nil
}

func (tr *Tracker) op(ctx context.Context, it rowWrite) (citronstream.Op, error) {
	tk := it.tracked
	row := claim.Row{State: claim.Claimed, Upstream: tk.id.upstream, Epoch: tk.epoch, OpID: citronstream.NewID(), Digest: tk.digest, At: tk.at}
	if tk.ran {
		row.State = claim.Done
		row.Answer = &tk.answer
		if len(tk.answer.Body) > maxInlineBytes {
			data, err := json.Marshal(tk.answer)
			if err != nil {
				return citronstream.Op{}, err
			}
			row.Answer, row.Object = nil, "once/"+row.OpID
			if err := tr.objects.Put(ctx, row.Object, data); err != nil {
				return citronstream.Op{}, err
			}
		}
	}
	data, err := json.Marshal(row)
	return citronstream.Op{
		Key: claim.RowKey(tk.id.service, tk.id.workspace, tk.id.key), Value: data,
		IfVersion: it.version, Expires: tk.at.Add(tr.retention),
	}, err
}
