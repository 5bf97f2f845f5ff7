package claim

import (
	"context"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// CachedAnswer returns the result of a key that has run and is still in memory. It
// returns false if there is none.
func (cl *Claim) CachedAnswer(rq Request) (Answer, error, bool) { //nolint:revive // the error belongs to the answer
	sh := &cl.shards[grant.SlotOf(rq.Workspace, rq.Key)]
	sh.mu.Lock()
	att := sh.keys[mapKey(rq)]
	sh.mu.Unlock()
	if att == nil || att.digest != rq.Digest || cl.ownedSlot(rq) == nil {
		return Answer{}, nil, false
	}
	select {
	case <-att.ended:
	default:
		return Answer{}, nil, false
	}
	ans, err, ok := cl.replay(sh, att)
	if ok {
		cl.replays.Add(1)
	}
	return ans, err, ok
}

// Verdict reports whether a key that this call did not run may have run before.
// It is NotRun only if the slot is owned, the key is neither in memory nor in
// the table, and no earlier owner can have run it without a row. It reads the
// table, for at most claimTimeout.
func (cl *Claim) Verdict(ctx context.Context, rq Request) citronstream.Verdict {
	if !rq.KeyGiven {
		return citronstream.NotRun
	}
	owned := cl.ownedSlot(rq)
	if owned == nil {
		return citronstream.MayHaveRun
	}
	sh := &cl.shards[grant.SlotOf(rq.Workspace, rq.Key)]
	sh.mu.Lock()
	att := sh.keys[mapKey(rq)]
	sh.mu.Unlock()
	lookup := &attempt{rq: rq, slot: grant.SlotOf(rq.Workspace, rq.Key)}
	switch {
	case att != nil:
		return citronstream.MayHaveRun
	case cl.provedNew(lookup, owned):
		return citronstream.NotRun
	case cl.inDoubtInterval(lookup, owned):
		return citronstream.MayHaveRun
	}
	ctx, cancel := grant.WithTimeout(ctx, cl.clk, claimTimeout)
	defer cancel()
	_, version, err := cl.readRow(ctx, lookup)
	if err != nil || version != 0 {
		return citronstream.MayHaveRun
	}
	return citronstream.NotRun
}
