package gateway

import (
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// minLinger is how long a leaving process still accepts connections: the platform
	// checks readiness every second and acts on the second failure.
	minLinger = 3 * time.Second
	// exitMargin is the end of the grace period that is reserved for the exit.
	exitMargin = 600 * time.Millisecond
	// cancelStagesLead is the time in which the last refusals reach their callers.
	cancelStagesLead = 400 * time.Millisecond
	// cancelRequestsLead is the same for the answers to requests still running at upstreams.
	cancelRequestsLead = 150 * time.Millisecond
	drainPoll          = 20 * time.Millisecond
)

// Leave takes the process out of service: it reports not ready, hands its queues
// over and still answers the requests that it has read.
func (ga *Gateway) Leave() {
	if ga.leaving.Swap(true) {
		return
	}
	ga.flow.Leave(ga.site.Bounds.Grace - exitMargin - cancelRequestsLead)
	ga.mesh.Broadcast(citronstream.MethodPeerUpdate, ga.peerInfo())
	ga.broker.Leave()
}

// Drain calls Leave and waits until all requests are answered and all callers'
// connections closed, or until the end of the grace period.
func (ga *Gateway) Drain() {
	began := ga.clk.Now()
	ga.log.Info("leaving", "in flight", ga.flow.InFlight())
	ga.Leave()
	for {
		passed := ga.clk.Since(began)
		if passed >= ga.site.Bounds.Grace-exitMargin-cancelStagesLead {
			ga.flow.CancelStages()
		}
		if passed >= ga.site.Bounds.Grace-exitMargin-cancelRequestsLead {
			ga.flow.CancelRequests()
		}
		if passed >= ga.site.Bounds.Grace-exitMargin {
			break
		}
		idle := passed >= minLinger && ga.flow.InFlight() == 0 && ga.broker.Idle()
		if idle || passed >= ga.site.Bounds.Grace-exitMargin-cancelStagesLead {
			// A request on a later connection would be cut off by Stop.
			ga.callerServer.StopAccepting()
			if ga.callerServer.CloseIdle() == 0 && idle {
				break
			}
		}
		ga.clk.Sleep(drainPoll)
	}
	ga.log.Info("drained", "in flight", ga.flow.InFlight(), "took", ga.clk.Since(began).String())
}

// Stop stops the process immediately.
func (ga *Gateway) Stop() {
	ga.leaving.Store(true)
	ga.cancel()
	ga.callerServer.Close()
	_ = ga.readyServer.Close() // no reader is left for an error
	if ga.metricsServer != nil {
		_ = ga.metricsServer.Close()
	}
	ga.mesh.Close()
	ga.broker.Wait()
	ga.deaths.Wait()
	ga.background.Wait()
	ga.pool.Close()
	ga.eng.Stop()
}
