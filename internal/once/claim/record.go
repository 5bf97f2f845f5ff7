package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// recordWait bounds one write of records. It is longer than claimWait, so
// that a slow table still takes records while calls run on the grant.
const recordWait = 2 * time.Second

// recordLoop writes ended attempts in groups and probes the table while the
// breaker is open.
func (cl *Claim) recordLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if cl.breaker.open.Load() {
			timer := cl.clk.NewTimer(cl.breaker.next())
			select {
			case <-ctx.Done():
			case <-timer.Chan():
				cl.probe(ctx)
			}
			timer.Stop()
			continue
		}
		group := cl.records.take(groupRows)
		if len(group) > 0 {
			cl.recordGroup(ctx, group)
			continue
		}
		select {
		case <-ctx.Done():
		case <-cl.records.wake:
		}
	}
}

// probe closes the breaker if the table answers within the time of a claim.
func (cl *Claim) probe(ctx context.Context) {
	start := cl.clk.Now()
	pctx, cancel := grant.WithTimeout(ctx, cl.clk, recordWait)
	defer cancel()
	_, err := cl.table.Get(pctx, grant.EpochKey(cl.grant.Settings().Upstream))
	if err != nil && !errors.Is(err, citronstream.ErrNotFound) {
		return
	}
	group := cl.records.take(groupRows)
	if len(group) > 0 && !cl.recordGroup(ctx, group) {
		return
	}
	if cl.clk.Since(start) <= claimWait {
		cl.breaker.reset()
	}
}

// recordGroup writes what ended attempts leave in the table. It returns false
// if the table did not answer.
func (cl *Claim) recordGroup(ctx context.Context, group []*entry) bool {
	rctx, cancel := grant.WithTimeout(ctx, cl.clk, recordWait)
	defer cancel()
	var (
		ops  []citronstream.Op
		sent []*entry
	)
	for _, en := range group {
		op, err := cl.recordOp(rctx, en)
		if err != nil {
			cl.records.push(en)
			continue
		}
		ops, sent = append(ops, op), append(sent, en)
	}
	if len(sent) == 0 {
		cl.trip() // the object store does not answer; the next probe tries again
		return false
	}
	err := cl.table.Write(rctx, citronstream.NewID(), ops...)
	var ce *citronstream.ConflictError
	switch {
	case err == nil:
		cl.finishRecords(sent)
		return true
	case errors.As(err, &ce):
		return cl.reconcile(rctx, sent, ce)
	case errors.Is(err, citronstream.ErrUnknownOutcome) && rctx.Err() == nil:
		if cl.reconcile(rctx, sent, &citronstream.ConflictError{}) && !cl.anyDirty(sent) {
			return true
		}
		cl.trip() // not written: try again after a pause
		return false
	}
	cl.records.push(sent...)
	cl.trip()
	return false
}

func (cl *Claim) finishRecords(sent []*entry) {
	var flushed []Flushed
	for _, en := range sent {
		if cl.recorded(en, en.version+1) && en.state != free {
			flushed = append(flushed, Flushed{en.rq.Workspace, en.rq.Key, en.epoch})
		}
	}
	if len(flushed) > 0 {
		cl.flushed(flushed)
	}
}

// recordOp builds the write for an ended attempt. Only the record loop
// touches the entry's version after the attempt has ended.
func (cl *Claim) recordOp(ctx context.Context, en *entry) (citronstream.Op, error) {
	row := Row{State: Released}
	switch en.state {
	case doubtful:
		row.State = Claimed
	case finished:
		row.State = Done
		ans := en.answer
		row.Answer = &ans
		if len(ans.Body) > inlineBytes {
			data, err := json.Marshal(ans)
			if err != nil {
				return citronstream.Op{}, err
			}
			row.Answer, row.Object = nil, "once/"+en.opID
			if err := cl.objects.Put(ctx, row.Object, data); err != nil {
				return citronstream.Op{}, err
			}
		}
	}
	return cl.op(en, row), nil
}

// reconcile reads the rows whose condition failed and decides what to write next.
func (cl *Claim) reconcile(ctx context.Context, sent []*entry, ce *citronstream.ConflictError) bool {
	failed := make(map[string]bool, len(ce.Keys))
	for _, key := range ce.Keys {
		failed[key] = true
	}
	var again, settled []*entry
	defer func() {
		cl.records.push(again...)
		cl.finishRecords(settled)
	}()
	for i, en := range sent {
		if len(failed) > 0 && !failed[cl.rowKey(en)] {
			again = append(again, en)
			continue
		}
		row, version, err := cl.readRow(ctx, en)
		if err != nil {
			again = append(again, sent[i:]...)
			cl.trip()
			return false
		}
		if cl.superseded(en, row, version) {
			if row.OpID != en.opID {
				version = 0 // a later attempt must not overwrite a row that it has not read
			}
			cl.setVersion(en, version-1)
			settled = append(settled, en)
			continue
		}
		cl.setVersion(en, version)
		again = append(again, en)
	}
	return true
}

// superseded reports whether the row already says what the attempt has to
// record, or more. A call that ran overwrites claims and releases of others.
func (cl *Claim) superseded(en *entry, row Row, version uint64) bool {
	if version == 0 {
		return cl.clk.Now().Sub(en.at) > cl.keep
	}
	own := row.OpID == en.opID
	if !own {
		cl.foreign.Add(1)
	}
	switch en.state {
	case finished:
		return row.State == Done
	case doubtful:
		return row.State != Released
	default:
		return !own || row.State == Released
	}
}

func (cl *Claim) setVersion(en *entry, version uint64) {
	sh := &cl.shards[en.slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	en.version = version
}

func (cl *Claim) anyDirty(sent []*entry) bool {
	for _, en := range sent {
		sh := &cl.shards[en.slot]
		sh.mu.Lock()
		dirty := en.dirty
		sh.mu.Unlock()
		if dirty {
			return true
		}
	}
	return false
}
