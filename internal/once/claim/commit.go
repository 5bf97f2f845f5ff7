package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// commitRounds bounds the transactions of one group: each conflict takes the
// failed rows out and sends the others again.
const commitRounds = 4

// commitLoop claims keys in groups. Claims that arrive while a transaction is
// under way go into the next one.
func (cl *Claim) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return // waiting callers see stopped
		case <-cl.claims.wake:
		}
		for group := cl.claims.take(groupRows); len(group) > 0 && ctx.Err() == nil; group = cl.claims.take(groupRows) {
			cl.commitGroup(ctx, group)
		}
	}
}

func answerAll(group []*entry, out outcome) {
	for _, en := range group {
		en.reply <- out
	}
}

// commitGroup claims the rows of a group and answers each of its entries.
func (cl *Claim) commitGroup(ctx context.Context, group []*entry) {
	ctx, cancel := grant.WithTimeout(ctx, cl.clk, claimWait)
	defer cancel()
	lost := false
	for range commitRounds {
		if cl.breaker.open.Load() && !lost {
			answerAll(group, outcome{result: unavailable})
			return
		}
		le := cl.grant.Lease()
		if le == nil {
			answerAll(group, outcome{result: fenced, sent: lost})
			return
		}
		if group = ofEpoch(group, le.Epoch, lost); len(group) == 0 {
			return
		}
		unknown, err := cl.send(ctx, cl.claimOps(le, group))
		lost = lost || unknown
		if err == nil {
			for _, en := range group {
				en.version++
			}
			answerAll(group, outcome{result: won})
			return
		}
		var ce *citronstream.ConflictError
		if !errors.As(err, &ce) {
			break
		}
		if group = cl.sortOut(ctx, group, ce, le, lost); len(group) == 0 {
			return
		}
	}
	cl.trip()
	answerAll(group, outcome{result: unavailable, sent: lost})
}

// ofEpoch refuses entries that came in under an earlier epoch: their slots may
// have another owner now, although this epoch is in force.
func ofEpoch(group []*entry, epoch uint64, lost bool) (current []*entry) {
	for _, en := range group {
		if en.epoch == epoch {
			current = append(current, en)
			continue
		}
		en.reply <- outcome{result: fenced, sent: lost}
	}
	return current
}

// claimOps builds the transaction of a group: the rows on the condition that
// the epoch is in force.
func (cl *Claim) claimOps(le *grant.Lease, group []*entry) []citronstream.Op {
	set := cl.grant.Settings()
	ops := []citronstream.Op{{Key: grant.EpochKey(set.Upstream), IfVersion: le.Version, CheckOnly: true}}
	for _, en := range group {
		ops = append(ops, cl.op(en, Row{State: Claimed}))
	}
	return ops
}

func (cl *Claim) op(en *entry, row Row) citronstream.Op {
	row.Upstream, row.Epoch, row.OpID = cl.grant.Settings().Upstream, en.epoch, en.opID
	row.Digest, row.At = en.digest, en.at
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // the row type always marshals
	}
	return citronstream.Op{Key: cl.rowKey(en), Value: data, IfVersion: en.version, Expires: en.at.Add(cl.keep)}
}

// send writes a transaction and sends it again under the same identifier
// while its answer is lost. Unknown says that some answer was lost, so that
// the transaction may take effect even if err reports a failure.
func (cl *Claim) send(ctx context.Context, ops []citronstream.Op) (unknown bool, err error) {
	id := citronstream.NewID()
	for range 3 {
		cl.transactions.Add(1)
		err = cl.table.Write(ctx, id, ops...)
		switch {
		case err == nil, errors.Is(err, citronstream.ErrConflict),
			errors.Is(err, citronstream.ErrUnavailable), errors.Is(err, citronstream.ErrThrottled):
			return unknown, err
		}
		unknown = true
		if ctx.Err() != nil {
			break
		}
	}
	return unknown, err
}

// sortOut reads back the rows whose condition failed and answers their
// entries. It returns the entries that have to be sent again.
func (cl *Claim) sortOut(ctx context.Context, group []*entry, ce *citronstream.ConflictError, le *grant.Lease, lost bool) (again []*entry) {
	failed := make(map[string]bool, len(ce.Keys))
	for _, key := range ce.Keys {
		failed[key] = true
	}
	moved := failed[grant.EpochKey(cl.grant.Settings().Upstream)]
	if moved {
		cl.grant.Fenced(le.Epoch)
	}
	for _, en := range group {
		if len(failed) > 0 && !failed[cl.rowKey(en)] && !moved {
			again = append(again, en)
			continue
		}
		row, version, err := cl.readRow(ctx, en)
		switch {
		case err != nil:
			en.reply <- outcome{result: unavailable, sent: true}
		case version != 0 && row.OpID == en.opID && row.State == Claimed:
			en.version = version
			en.reply <- outcome{result: won}
		case moved:
			en.reply <- outcome{result: fenced, sent: lost}
		case version == 0 || row.State == Released:
			en.version = version
			again = append(again, en)
		default:
			en.reply <- outcome{result: exists, row: row}
		}
	}
	return again
}

// trip opens the breaker and wakes the record loop, which probes the table.
func (cl *Claim) trip() {
	cl.breaker.trip()
	cl.records.poke()
}
