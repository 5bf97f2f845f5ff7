// Package agent puts the parts of an agent process together.
package agent

import (
	"context"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/observe/timeline"
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
}

// Agent is one agent process.
type Agent struct {
	Server   *server.Server
	Holds    *poison.Holds
	Timeline *timeline.Ring
	Up       citronstream.Upstream
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
	queue := factory(discipline.Settings{Clock: clk, Fleet: *fl, Capacity: up.Capacity, Rate: firstRate(se, up.Capacity)})
	ag.Server = server.New(clk, eng, up, pr, queue,
		server.WithHolds(ag.Holds), server.WithRecorder(ag.Timeline), server.WithLog(log), server.WithToken(set.Token))
	return ag, nil
}

// Start listens for entries.
func (ag *Agent) Start(ctx context.Context) error { return ag.Server.Start(ctx) }

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
