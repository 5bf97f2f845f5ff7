package flow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/citronstream/citronstream/internal/limit/connshare"
	"github.com/citronstream/citronstream/internal/route/engines"
)

// connWaits are the requests that wait for a connection to a plain upstream, by service, the
// most urgent ones first.
type connWaits struct {
	mu   sync.Mutex
	list map[string][]*connWait
}

type connWait struct {
	urgency int
	ready   chan struct{} // receives when a connection of the service may be free
}

func (cw *connWaits) enter(service string, urgency int) *connWait {
	wa := &connWait{urgency: urgency, ready: make(chan struct{}, 1)}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	if cw.list == nil {
		cw.list = make(map[string][]*connWait)
	}
	list := cw.list[service]
	cw.list[service] = slices.Insert(list, ahead(list, urgency), wa)
	return wa
}

// leave ends a wait. The next request looks for a connection, as several may be free.
func (cw *connWaits) leave(service string, wa *connWait) {
	cw.mu.Lock()
	list := slices.DeleteFunc(cw.list[service], func(other *connWait) bool { return other == wa })
	if cw.list[service] = list; len(list) == 0 {
		delete(cw.list, service)
	}
	cw.mu.Unlock()
	cw.signal(service)
}

// signal wakes the first request that waits.
func (cw *connWaits) signal(service string) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	if list := cw.list[service]; len(list) > 0 {
		select {
		case list[0].ready <- struct{}{}:
		default:
		}
	}
}

// ahead returns how many requests of a service come before a new one.
func (cw *connWaits) ahead(service string, urgency int) int {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	return ahead(cw.list[service], urgency)
}

func (cw *connWaits) first(service string, wa *connWait) bool {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	return len(cw.list[service]) > 0 && cw.list[service][0] == wa
}

func (cw *connWaits) count() (sum int) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	for _, list := range cw.list {
		sum += len(list)
	}
	return sum
}

func ahead(list []*connWait, urgency int) int {
	at := 0
	for at < len(list) && list[at].urgency <= urgency {
		at++
	}
	return at
}

// Waiting returns the number of requests that wait for a connection to a plain upstream.
func (fl *Flow) Waiting() int { return fl.waits.count() }

// hasConnection reports whether a connection to an upstream is left for the request.
func (rt *request) hasConnection(nd *node.Node) bool {
	if rt.fl.ConnectionLimit == nil {
		return true
	}
	use, bounded := rt.fl.use(rt.routes.Services[rt.service], nd)
	if !bounded {
		return true
	}
	return use.Free() && (rt.connTurn || rt.fl.waits.ahead(rt.service, rt.urgency()) == 0)
}

// use returns the use of a plain upstream, false if its connections are not shared out.
func (fl *Flow) use(spec citronstream.ServiceSpec, nd *node.Node) (connshare.Use, bool) {
	if spec.Engine || spec.Batch != nil || spec.MaxConnections <= 0 {
		return connshare.Use{}, false
	}
	use := connshare.Use{Limit: fl.ConnectionLimit(&spec, nd), Most: spec.MaxConnections, Busy: nd.Running()}
	if sl, age, known := nd.Load(fl.clk.Now()); known {
		use.Load, use.Age = sl, age
	}
	return use, true
}

// connectionsUsed returns how many requests of this process are at the upstreams that the
// request may be sent to, and whether one of them lacks only a connection.
func (rt *request) connectionsUsed() (busy int, short bool) {
	if rt.fl.ConnectionLimit == nil {
		return 0, false
	}
	now := rt.fl.clk.Now()
	for _, nd := range rt.permitted() {
		if _, paused := nd.Self.Paused(now); paused || rt.tried[nd.ID] || !rt.fl.Cold.Free(nd.ID) {
			continue
		}
		if _, bounded := rt.fl.use(rt.routes.Services[rt.service], nd); bounded {
			busy += nd.Running()
			short = short || !rt.hasConnection(nd)
		}
	}
	return busy, short
}

// latestSend returns until when the request must be sent to reach its target, or to be
// answered at all if its route has none.
func (rt *request) latestSend() time.Time {
	usual := time.Duration(0) // not measured yet
	if rt.fl.latencies.measured(rt.route.Name) {
		usual = rt.fl.latencies.expected(rt.route.Name, rt.readTime)
	}
	if rt.started || rt.route.Target <= 0 {
		return rt.fl.clk.Now().Add(rt.timeLeft() - usual)
	}
	return rt.target.Add(-usual)
}

// awaitConnection waits for a connection to a plain upstream if all that the request may use
// are in use and it can still reach its target, and refuses it otherwise.
func (rt *request) awaitConnection(ctx context.Context) (*node.Node, *engines.Request, *coldrate.Permit) {
	busy, short := rt.connectionsUsed()
	if !short {
		return nil, nil, nil
	}
	rt.fl.OnLimit(LimitShare)
	usual := rt.fl.latencies.expected(rt.route.Name, rt.readTime)
	wait := connshare.Wait(rt.fl.waits.ahead(rt.service, rt.urgency()), busy, usual)
	if rt.fl.latencies.measured(rt.route.Name) && rt.fl.clk.Now().Add(wait).After(rt.latestSend()) {
		rt.refuseConnection(wait)
		return nil, nil, nil
	}
	wa := rt.fl.waits.enter(rt.service, rt.urgency())
	defer rt.fl.waits.leave(rt.service, wa)
	defer func() { rt.connTurn = false }()
	for ctx.Err() == nil {
		rt.fl.Pass(ctx)
		if rt.connTurn = rt.fl.waits.first(rt.service, wa); rt.connTurn {
			if nd, demand, permit := rt.pick(); nd != nil {
				return nd, demand, permit
			}
		}
		left := rt.latestSend().Sub(rt.fl.clk.Now())
		if left <= 0 {
			rt.refuseConnection(wait)
			return nil, nil, nil
		}
		// Limits change with the gateways that live, and without any request that ends here.
		timer := rt.fl.clk.NewTimer(min(left, turnInterval))
		select {
		case <-ctx.Done():
		case <-wa.ready:
		case <-timer.Chan():
		}
		timer.Stop()
	}
	return nil, nil, nil
}

// refuseConnection records that no connection is free in time.
func (rt *request) refuseConnection(wait time.Duration) {
	rt.noRetry = noConnectionLeft
	if rt.worst.Verdict != citronstream.NotRun {
		return
	}
	rt.worst = citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "the share of this process of the connections to service %s is in use for %v", rt.service, wait.Round(time.Millisecond))
	rt.worst.RetryAfter = max(wait, shortRetryAfter)
}
