package broker

import (
	"time"

	"github.com/citronstream/citronstream"
)

// Explain returns the queue of a service as this process knows it, with the time until a
// job with this slack and route's rank would start. It changes nothing.
func (br *Broker) Explain(service string, slack time.Duration, rank int, admitted bool) citronstream.WhereQueue {
	wq := citronstream.WhereQueue{Service: service, WaitMs: citronstream.Milliseconds(br.QueueWait(service, slack, rank, admitted))}
	if pe := br.remoteOwner(service, nil); pe != nil {
		wq.Owner = pe.Address
	} else {
		wq.Owner, wq.Own = br.self, true
	}
	br.mu.Lock()
	ld, known := br.loads[service]
	br.mu.Unlock()
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
