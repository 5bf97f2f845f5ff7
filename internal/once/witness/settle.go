package witness

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
)

// settleRounds bounds the transactions per group: a conflict takes rows out
// that are there already.
const settleRounds = 8

// item is a key and the version that its row must have for the write.
type item struct {
	ki      kept
	version uint64
}

// Settle writes the rows of all keys that are kept for the upstream up to
// this epoch, and refuses later calls under it. It returns the process's
// start time; an error means that some row may be missing.
func (ke *Keeper) Settle(ctx context.Context, upstream string, epoch uint64) (time.Time, error) {
	ke.settles.Add(1)
	var items []item
	ke.mu.Lock()
	ke.settled[upstream] = max(ke.settled[upstream], epoch)
	for _, ki := range ke.keys {
		if ki.id.upstream == upstream && ki.epoch <= epoch {
			items = append(items, item{ki: *ki})
		}
	}
	ke.mu.Unlock()
	for len(items) > 0 {
		n := min(groupRows, len(items))
		if err := ke.writeGroup(ctx, items[:n]); err != nil {
			return ke.started, err
		}
		ke.release(items[:n])
		items = items[n:]
	}
	return ke.started, nil
}

// release drops keys whose rows are written, but for those still in flight.
func (ke *Keeper) release(items []item) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	for _, it := range items {
		if ki := ke.keys[it.ki.id]; ki != nil && ki.calls == 0 && ki.ran == it.ki.ran {
			ke.drop(ki)
		}
	}
}

func (ke *Keeper) writeGroup(ctx context.Context, group []item) error {
	for range settleRounds {
		ops := make([]citronstream.Op, 0, len(group))
		for _, it := range group {
			op, err := ke.op(ctx, it)
			if err != nil {
				return err
			}
			ops = append(ops, op)
		}
		err := ke.table.Write(ctx, citronstream.NewID(), ops...)
		if err == nil {
			ke.written.Add(uint64(len(group)))
			return nil
		}
		if errors.Is(err, citronstream.ErrUnknownOutcome) {
			continue // rows that took effect show up as conflicts
		}
		if !errors.Is(err, citronstream.ErrConflict) {
			return err
		}
		if group, err = ke.missing(ctx, group); err != nil {
			return err
		}
		if len(group) == 0 {
			return nil
		}
	}
	return citronstream.ErrUnknownOutcome
}

// missing reads the rows of a group back and returns the keys that still need
// one. A released row counts as none: the key may have been sent again since.
func (ke *Keeper) missing(ctx context.Context, group []item) (again []item, err error) {
	for _, it := range group {
		raw, err := ke.table.Get(ctx, claim.RowKey(it.ki.id.service, it.ki.id.workspace, it.ki.id.key))
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
			if row.State == claim.Done || row.State == claim.Claimed && !it.ki.ran {
				continue
			}
			it.version = raw.Version
		}
		again = append(again, it)
	}
	return again, nil
}

func (ke *Keeper) op(ctx context.Context, it item) (citronstream.Op, error) {
	ki := it.ki
	row := claim.Row{State: claim.Claimed, Upstream: ki.id.upstream, Epoch: ki.epoch, OpID: citronstream.NewID(), Digest: ki.digest, At: ki.at}
	if ki.ran {
		row.State = claim.Done
		row.Answer = &ki.answer
		if len(ki.answer.Body) > inlineBytes {
			data, err := json.Marshal(ki.answer)
			if err != nil {
				return citronstream.Op{}, err
			}
			row.Answer, row.Object = nil, "once/"+row.OpID
			if err := ke.objects.Put(ctx, row.Object, data); err != nil {
				return citronstream.Op{}, err
			}
		}
	}
	data, err := json.Marshal(row)
	return citronstream.Op{
		Key: claim.RowKey(ki.id.service, ki.id.workspace, ki.id.key), Value: data,
		IfVersion: it.version, Expires: ki.at.Add(ke.keep),
	}, err
}
