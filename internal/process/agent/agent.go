// Package agent puts the parts of an agent process together.
package agent

import (
	"context"
	"sync/atomic"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"

	// The plug-ins that settings can name.
	_ "github.com/citronstream/citronstream/internal/limit/fairqueue"
	_ "github.com/citronstream/citronstream/internal/upstream/completions"
	_ "github.com/citronstream/citronstream/internal/upstream/jsonpost"
	_ "github.com/citronstream/citronstream/internal/upstream/plain"
)

// queueName is the queue discipline of all agents.
const queueName = "fair"

// Settings is what an agent is told at its start.
type Settings struct {
	Upstream string // name in the Fleet
	Token    string // shared secret of the peers
	Platform citronstream.Platform
	// Wrap changes the way to the upstream and Stream the connections of
	// entries; tests put faults there. Nil changes nothing.
	Wrap   func(citronstream.Protocol) citronstream.Protocol
	Stream func(link.Stream) link.Stream
	// ServerOptions are applied last.
	ServerOptions []server.Option
}

// Agent is one agent process.
type Agent struct {
	Server   *server.Server
	Holds    *poison.Holds
	Timeline *timeline.Ring
	Up       citronstream.Upstream
	Grant    *grant.Grant // nil for a service without non-idempotent calls
	Claim    *claim.Claim

	queue  citronstream.Discipline
	fleet  atomic.Pointer[citronstream.Fleet]
	cancel context.CancelFunc
	ended  []<-chan struct{}
}

// New returns an agent with its first configuration.
func New(clk citronstream.Clock, eng *nbconn.Engine, set Settings, fl *citronstream.Fleet, log logr.Logger) (*Agent, error) {
	up, se, err := find(fl, set.Upstream)
	if err != nil {
		return nil, err
	}
	pr, err := protocol.Get(se.Protocol)
	if err != nil {
		return nil, err
	}
	factory, err := discipline.Registry.Get(queueName)
	if err != nil {
		return nil, err
	}
	ag := &Agent{Up: up, Holds: poison.New(clk, fl.Limits), Timeline: timeline.New(clk, timeline.WithProcess(up.Name))}
	ag.fleet.Store(fl)
	if set.Wrap != nil {
		pr = set.Wrap(pr)
	}
	ag.queue = factory(discipline.Settings{Clock: clk, Fleet: *fl, Capacity: up.Capacity, Rate: firstRate(se, up.Capacity)})
	opts := []server.Option{
		server.WithHolds(ag.Holds), server.WithRecorder(ag.Timeline), server.WithLog(log), server.WithToken(set.Token),
		server.WithVersion(func() uint64 { return ag.fleet.Load().Version }, func(*link.Link, uint64) {}),
	}
	if set.Stream != nil {
		opts = append(opts, server.WithStream(set.Stream))
	}
	if once := ag.ownership(clk, set, fl, se); once != nil {
		opts = append(opts, server.WithOnce(once), server.WithGrant(ag.epoch, ag.Grant.Owned))
	}
	ag.Server = server.New(clk, eng, up, pr, ag.queue, append(opts, set.ServerOptions...)...)
	return ag, nil
}

// ownership sets up the grant and the claims of a service with non-idempotent calls.
func (ag *Agent) ownership(clk citronstream.Clock, set Settings, fl *citronstream.Fleet, se *citronstream.Service) server.Once {
	repeatable := true
	for _, sc := range se.Calls {
		repeatable = repeatable && sc.Idempotent
	}
	if repeatable {
		return nil
	}
	wi := witness{server: func() *server.Server { return ag.Server }, entries: func() []citronstream.Entry { return ag.fleet.Load().Entries }}
	ag.Grant = grant.New(grant.Settings{Upstream: ag.Up.Name, Service: se.Name, Instance: ag.Up.Instance, Address: ag.Up.Agent},
		set.Platform.Table, set.Platform.Liveness, clk, grant.WithLimits(fl.Limits), grant.WithWitness(wi))
	ag.Claim = claim.New(ag.Grant, set.Platform.Table, set.Platform.Objects, clk,
		claim.WithRetention(fl.Limits.KeyRetention.Std()),
		claim.WithFlushed(func(keys []claim.Flushed) {
			ag.Server.Broadcast(citronstream.MethodFlushed, claim.Notice{Upstream: ag.Up.Name, Service: se.Name, Keys: keys})
		}))
	return once{ag.Claim}
}

func (ag *Agent) epoch() uint64 {
	if le := ag.Grant.Lease(); le != nil {
		return le.Epoch
	}
	return 0
}

// Start listens for entries, and takes up ownership once it listens: the
// bound address proves that a predecessor's process has ended.
func (ag *Agent) Start(ctx context.Context) error {
	if err := ag.Server.Start(ctx); err != nil {
		return err
	}
	ctx, ag.cancel = context.WithCancel(ctx)
	if ag.Grant != nil {
		ag.ended = append(ag.ended, ag.Grant.Run(ctx), ag.Claim.Run(ctx))
	}
	return nil
}

// Shutdown announces the end, lets the calls that were taken run, passes the
// slots on, and stops.
func (ag *Agent) Shutdown(ctx context.Context) error {
	ag.Server.Drain()
	err := ag.Server.Idle(ctx)
	if ag.Grant != nil && err == nil {
		err = ag.Grant.Drain(ctx)
	}
	ag.Stop()
	return err
}

// Stop ends the agent at once, as a crash would.
func (ag *Agent) Stop() {
	ag.Server.Stop()
	ag.cancel()
	for _, ended := range ag.ended {
		<-ended
	}
}

// firstRate guesses the throughput in cost units a second before any call was
// measured: one mean call a second for each place.
func firstRate(se *citronstream.Service, capacity int) float64 {
	sum := 0.0
	for _, sc := range se.Calls {
		sum += max(sc.Cost, 1)
	}
	return sum / float64(max(len(se.Calls), 1)) * float64(capacity)
}

func find(fl *citronstream.Fleet, name string) (citronstream.Upstream, *citronstream.Service, error) {
	for _, up := range fl.Upstreams {
		if up.Name != name {
			continue
		}
		for i := range fl.Services {
			if fl.Services[i].Name == up.Service {
				return up, &fl.Services[i], nil
			}
		}
	}
	return citronstream.Upstream{}, nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "Process.Name: no upstream %q in the configuration", name)
}
