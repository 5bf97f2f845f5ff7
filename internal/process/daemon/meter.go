package daemon

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/observe/meter"
	"github.com/citronstream/citronstream/internal/observe/metrics"
)

// tee counts calls in the metrics and in the cost ledger. The field next is set
// before the process serves.
type tee struct {
	set  *metrics.Set
	next *meter.Meter
}

// Count implements pipeline.Meter and the agent's server.Meter.
func (te *tee) Count(ca *citronstream.Call, re *citronstream.Result) {
	te.set.Count(ca, re)
	te.next.Count(ca, re)
}
