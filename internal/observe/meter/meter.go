// Package meter counts what calls consumed into a process's cost ledger.
package meter

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/observe/ledger"
)

// Meter counts on one side, entry or agent.
type Meter struct {
	le   *ledger.Ledger
	side string
}

// New returns a meter for a side of ledger.Key.
func New(le *ledger.Ledger, side string) *Meter { return &Meter{le: le, side: side} }

// Count adds one attempt that ran or may have run. A replayed answer cost
// nothing, and an attempt that did not run is not counted.
func (me *Meter) Count(ca *citronstream.Call, re *citronstream.Result) {
	if re.Replayed || (re.Fault != nil && re.Fault.Verdict == citronstream.NotRun) {
		return
	}
	counts := ledger.Counts{
		Calls: 1, Cost: ledger.UnitsOf(re.Usage.Cost), TokensIn: int64(re.Usage.TokensIn), TokensOut: int64(re.Usage.TokensOut),
		Busy: re.Usage.Busy, Queued: re.Queued,
	}
	if re.Fault == nil && re.Queued+re.Usage.Busy <= ca.Left {
		counts.Attained = 1
	}
	me.le.Add(ledger.Key{
		Side: me.side, Owner: ca.Owner, Workspace: ca.Workspace, Service: ca.Service, Stage: ca.Stage, Rank: ca.Rank,
	}, counts)
}
