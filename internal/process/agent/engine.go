package agent

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/orders"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// commands sets up the commands to an engine. Their epoch is that of the
// slots' grant if the service has one, else of a grant without slots.
func (ag *Agent) commands(engine orders.Engine, fl *citronstream.Fleet, se *citronstream.Service) []server.Option {
	var opts []server.Option
	if ag.Fence = ag.Grant; ag.Fence == nil {
		ag.Fence = grant.New(grant.Settings{Upstream: ag.Up.Name, Service: se.Name, Instance: ag.Up.Instance, Address: ag.Up.Agent},
			ag.set.Platform.Table, ag.set.Platform.Liveness, ag.clk, grant.WithLimits(fl.Limits), grant.WithoutSlots())
		opts = append(opts, server.WithGrant(ag.epoch, func() []int { return nil }))
	}
	ag.Orders = orders.New(ag.clk, orders.Settings{Upstream: ag.Up.Name, Address: ag.Up.Address}, engine, ag.Fence,
		orders.WithWeights(ag.set.Platform.Weights), orders.WithRecorder(ag.Timeline),
		orders.WithChanged(func() { ag.Server.Broadcast(citronstream.MethodLoad, ag.Server.Load()) }),
		orders.WithBusy(func(model string) int { return ag.Server.Busy(model) }))
	return append(opts, server.WithModels(ag.Orders.Models), server.WithFold(ag.fold))
}

// fold takes note of a death of the engine, which loses its models.
func (ag *Agent) fold(lo *citronstream.Load) {
	if lo.Down && ag.Orders != nil {
		ag.Orders.Down()
	}
}
