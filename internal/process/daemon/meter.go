package daemon

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/metrics"
)

// meter counts the usage of a call as one side saw it.
type meter struct {
	side   string
	ledger *ledger.Ledger
	set    *metrics.Set
}

// Count implements pipeline.Meter and the agent's server.Meter.
func (me meter) Count(ca *citronstream.Call, re *citronstream.Result) {
	me.set.Count(ca, re)
	counts := ledger.Counts{
		Calls: 1, Cost: ledger.UnitsOf(re.Usage.Cost), TokensIn: int64(re.Usage.TokensIn), TokensOut: int64(re.Usage.TokensOut),
		Busy: re.Usage.Busy, Queued: re.Queued,
	}
	if re.Fault == nil && re.Queued+re.Usage.Busy <= ca.Left {
		counts.Attained = 1
	}
	stage := ca.Stage
	if stage == "" {
		stage = ca.Call
	}
	me.ledger.Add(ledger.Key{Side: me.side, Owner: ca.Owner, Workspace: ca.Workspace, Service: ca.Service, Stage: stage, Rank: ca.Rank}, counts)
}
