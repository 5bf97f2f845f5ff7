package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// Results of a claim.
const (
	won         = iota // the row holds this claim
	exists             // the row holds another claim or an answer
	fenced             // the epoch is no longer in force
	unavailable        // the table did not answer
)

type outcome struct {
	result int
	row    Row
	// sent says that a transaction of unknown outcome may still take effect.
	sent bool
}

type runFunc = func(context.Context) (Answer, error)

// lead claims the key for a new attempt and runs the call.
func (cl *Claim) lead(ctx context.Context, en *entry, run runFunc) (Answer, error) {
	held, le := cl.held(en.rq), cl.grant.Lease()
	if held == nil || le == nil {
		cl.abandon(en)
		return Answer{}, cl.notOwner(en.rq)
	}
	en.epoch = le.Epoch
	if cl.inInterval(en, held) {
		return cl.lookUp(ctx, en)
	}
	if max(cl.pending.Load(), cl.unflushed.Load()) >= cl.cap || cl.bytes.Load()+en.size() > cl.most {
		cl.abandon(en)
		return Answer{}, cl.atCap(en, held)
	}
	out := cl.claimRow(en)
	switch out.result {
	case won:
		cl.counters.claims.Add(1)
		if ctx.Err() != nil {
			cl.settleEntry(en, free, Answer{}, true)
			return Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "call ended before it ran")
		}
		return cl.finish(ctx, en, run, true)
	case exists:
		return cl.existing(ctx, en, out.row)
	case fenced:
		cl.fenced.Add(1)
		cl.abandon(en)
		return Answer{}, cl.notOwner(en.rq)
	default:
		return cl.onGrant(ctx, en, run, out.sent)
	}
}

// claimRow waits for the group that claims the key.
func (cl *Claim) claimRow(en *entry) outcome {
	if cl.breaker.open.Load() {
		return outcome{result: unavailable}
	}
	en.reply = make(chan outcome, 1)
	cl.claims.push(en)
	select {
	case out := <-en.reply:
		en.reply = nil // a claim is answered once
		return out
	case <-cl.stopped:
		return outcome{result: fenced, sent: true}
	}
}

// inInterval applies the rule for slots with an interval of uncertainty.
func (cl *Claim) inInterval(en *entry, held *grant.Held) bool {
	return !held.DoubtTo.IsZero() && cl.clk.Now().Sub(held.DoubtTo) <= cl.keep &&
		!bornAfter(en.rq.Key, held.DoubtTo.Add(grant.Skew))
}

// known reports whether memory proves that the key has not run. Keys that ran
// before this process acquired the slot, or that were evicted, are not in
// memory, so the key must be younger than both.
func (cl *Claim) known(en *entry, held *grant.Held) bool {
	horizon := held.Since
	if held.DoubtTo.After(horizon) {
		horizon = held.DoubtTo
	}
	if ms := cl.shards[en.slot].evicted.Load(); ms > 0 && time.UnixMilli(ms).After(horizon) {
		horizon = time.UnixMilli(ms)
	}
	return horizon.IsZero() || cl.clk.Now().Sub(horizon) > cl.keep || bornAfter(en.rq.Key, horizon.Add(grant.Skew))
}

// refuse is a refusal of a key that this attempt did not run. The verdict is
// NotRun only if no earlier attempt can have run.
func (cl *Claim) refuse(en *entry, held *grant.Held, code citronstream.Code, text string) error {
	if held == nil {
		return cl.notOwner(en.rq)
	}
	if !cl.known(en, held) {
		return cl.doubtful(en.rq, text)
	}
	return citronstream.NewFault(citronstream.NotRun, code, "%s", text)
}

func (cl *Claim) atCap(en *entry, held *grant.Held) error {
	cl.refused.Add(1)
	return cl.refuse(en, held, citronstream.CodeLimit, "too many keys wait for the table")
}

// onGrant runs a call without a row. The key counts as unflushed before the
// grant's time is read, so that no checkpoint passes over it.
func (cl *Claim) onGrant(ctx context.Context, en *entry, run runFunc, sent bool) (Answer, error) {
	err := cl.reserve(en)
	if err == nil {
		err = cl.allowed(ctx, en)
	}
	if err != nil {
		cl.giveUp(en, sent)
		return Answer{}, err
	}
	cl.offline.Add(1)
	return cl.finish(ctx, en, run, sent)
}

// giveUp ends an attempt that did not run. A claim that may still take effect
// has to be released in the table.
func (cl *Claim) giveUp(en *entry, sent bool) {
	if !sent {
		cl.abandon(en)
		return
	}
	cl.settleEntry(en, free, Answer{}, true)
}

func (cl *Claim) reserve(en *entry) error {
	cl.hold(en)
	if cl.unflushed.Add(1) > cl.cap || cl.bytes.Load() > cl.most {
		cl.unflushed.Add(-1)
		cl.release(en)
		return cl.atCap(en, cl.held(en.rq))
	}
	en.unflushed = true
	return nil
}

func (cl *Claim) allowed(ctx context.Context, en *entry) error {
	held, le := cl.held(en.rq), cl.grant.Lease()
	switch {
	case held == nil || le == nil || le.Epoch != en.epoch:
		return cl.notOwner(en.rq)
	case !cl.known(en, held):
		return cl.doubtful(en.rq, "the table does not answer")
	case ctx.Err() != nil:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "call ended before it ran")
	case cl.clk.Now().Sub(en.rq.Sent) > grant.MaxAge:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline, "the table does not answer and the call is too old for the grant")
	case !cl.clk.Now().Before(le.Until.Add(-grant.Margin)):
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "the table does not answer and the grant ends")
	}
	return nil
}

// finish runs the call and ends the attempt by its verdict. Traced says that
// the table has or may get a row of this attempt.
func (cl *Claim) finish(ctx context.Context, en *entry, run runFunc, traced bool) (Answer, error) {
	ans, err := run(ctx)
	ans.Replayed = false
	switch citronstream.VerdictOf(err) {
	case citronstream.NotRun:
		cl.giveUp(en, traced)
		return Answer{}, err
	case citronstream.MayHaveRun:
		return cl.settleEntry(en, doubtful, Answer{}, en.unflushed), err
	default:
		if err != nil {
			ans.Fault = citronstream.FaultOf(err)
		}
		return cl.settleEntry(en, finished, ans, true), err
	}
}

// existing answers from the row of another attempt.
func (cl *Claim) existing(ctx context.Context, en *entry, row Row) (Answer, error) {
	if row.Digest != en.digest {
		cl.abandon(en)
		return Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeKeyReuse, "key %q was used with other content", en.rq.Key)
	}
	if row.State != Done {
		cl.abandon(en)
		return Answer{}, cl.doubtful(en.rq, "it is claimed by "+row.Upstream)
	}
	ans, err := cl.answerOf(ctx, row)
	if err != nil {
		cl.abandon(en)
		return Answer{}, citronstream.NewFault(citronstream.Ran, citronstream.CodeUnavailable, "the stored answer can't be read: %s", err)
	}
	cl.replays.Add(1)
	en.at = row.At
	cl.settleEntry(en, finished, ans, false)
	ans.Replayed = true
	return ans, faultOf(ans)
}

func (cl *Claim) answerOf(ctx context.Context, row Row) (Answer, error) {
	if row.Object == "" {
		return *row.Answer, nil
	}
	data, err := cl.objects.Get(ctx, row.Object)
	if err != nil {
		return Answer{}, err
	}
	var ans Answer
	return ans, json.Unmarshal(data, &ans)
}

// lookUp answers a key that falls into an interval of uncertainty: only a
// recorded answer helps.
func (cl *Claim) lookUp(ctx context.Context, en *entry) (Answer, error) {
	rctx, cancel := grant.WithTimeout(ctx, cl.clk, claimWait)
	row, _, err := cl.readRow(rctx, en)
	cancel()
	if err == nil && row.State == Done {
		return cl.existing(ctx, en, row)
	}
	cl.abandon(en)
	return Answer{}, cl.doubtful(en.rq, "an earlier owner of the slot ended with keys that may be unrecorded")
}

// readRow reads the row of a key and its version; version 0 means that there is none.
func (cl *Claim) readRow(ctx context.Context, en *entry) (Row, uint64, error) {
	raw, err := cl.table.Get(ctx, cl.rowKey(en))
	if errors.Is(err, citronstream.ErrNotFound) {
		return Row{}, 0, nil
	}
	if err != nil {
		return Row{}, 0, err
	}
	var row Row
	return row, raw.Version, json.Unmarshal(raw.Value, &row)
}

func (cl *Claim) rowKey(en *entry) string {
	return RowKey(cl.grant.Settings().Service, en.rq.Workspace, en.rq.Key)
}
