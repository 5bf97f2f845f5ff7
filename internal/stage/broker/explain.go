package broker

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/route/regions"
)

// Explain returns the queue of a service as this process knows it, with the time until a
// job that is restricted to some regions, with this slack and route's rank, would start.
// It changes nothing.
func (br *Broker) Explain(service string, allowed regions.Set, slack time.Duration, rank int, admitted bool) citronstream.WhereQueue {
	qu := queue{service, allowed}
	wq := citronstream.WhereQueue{Service: service, WaitMs: citronstream.Milliseconds(br.QueueWait(qu.name(), slack, rank, admitted))}
	if pe := br.remoteOwner(qu, nil); pe != nil {
		wq.Owner = pe.Address
	} else {
		wq.Owner, wq.Own = br.self, true
	}
	br.mu.Lock()
	ld, known := br.loads[qu.name()]
	br.mu.Unlock()
	wq.PausedMs = citronstream.Milliseconds(br.Pause(qu.name()))
	if age := br.clk.Since(ld.at); known && age <= loadTTL {
		wq.Known, wq.AgeMs, wq.Late, wq.Rate, wq.Waiting = true, citronstream.Milliseconds(age), ld.Late, ld.Rate, ld.Late
		for _, steps := range ld.QueueLoad.Waiting {
			for _, pieces := range steps {
				wq.Waiting += pieces
			}
		}
	}
	return wq
}
