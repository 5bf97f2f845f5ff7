package local

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/metrics"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/citronstream/citronstream/internal/operator/server"
	"github.com/citronstream/citronstream/internal/process/daemon"
	"github.com/citronstream/citronstream/internal/process/local"
)

// operated is an entry of a local fleet as its operators see it. The agents
// are asked in this process instead of over links.
type operated struct {
	ctx     context.Context // of the command
	fl      *local.Fleet
	name    string
	started time.Time
	drains  *sync.WaitGroup
}

// operate serves the operators' addresses of all entries until stop is called.
func operate(ctx context.Context, clk citronstream.Clock, fl *local.Fleet) (stop func(), err error) {
	var servers []*server.Server
	drains := &sync.WaitGroup{}
	stop = func() {
		for _, se := range servers {
			se.Stop()
		}
		drains.Wait()
	}
	ch := check.New()
	for _, co := range fl.Config.Entries {
		pr := &operated{ctx: ctx, fl: fl, name: co.Name, started: clk.Now(), drains: drains}
		en := fl.Entry(co.Name)
		set := metrics.New(en.Version)
		set.AddEntry(en)
		set.AddLedger(en.Ledger)
		se := server.New(clk, co.Admin, pr, server.WithMetrics(set.Handler()), server.WithTable(fl.Table),
			server.WithConfig(func() *version.Store { return en.Config }, func(fl *citronstream.Fleet) []string { return texts(ch.Inventory(fl)) }))
		if err := se.Start(ctx); err != nil {
			stop()
			return nil, err
		}
		servers = append(servers, se)
	}
	return stop, nil
}

func texts(faults []check.Fault) []string {
	var list []string
	for _, fa := range faults {
		if !fa.Warning {
			list = append(list, fa.String())
		}
	}
	return list
}

// Ready implements server.Process.
func (op *operated) Ready() error {
	if en := op.fl.Entry(op.name); en == nil || en.Version() == 0 {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no recent configuration is known")
	}
	return nil
}

// Status implements server.Process.
func (op *operated) Status(context.Context) report.Status {
	st := report.Status{Process: op.name, Role: report.RoleEntry, Started: op.started.UTC()}
	en := op.fl.Entry(op.name)
	if en == nil {
		st.NotReady = "stopped"
		return st
	}
	st.Version, st.InFlight, st.Upstreams = en.Version(), en.Server.InFlight(), daemon.Upstreams(en)
	for _, up := range op.fl.Config.Upstreams {
		if ag := op.fl.Agent(up.Name); ag != nil {
			lo := ag.Server.Load()
			st.Agents = append(st.Agents, report.Status{
				Process: up.Name, Role: report.RoleAgent, Started: op.started.UTC(), Version: ag.Config.Version(),
				Leaving: lo.Leaving, InFlight: lo.Running + lo.Waiting, Load: &lo,
			})
		}
	}
	return st
}

// Timeline implements server.Process.
func (op *operated) Timeline(_ context.Context, fi timeline.Filter, own bool) []citronstream.Event {
	if en := op.fl.Entry(op.name); own && en != nil {
		return en.Timeline.Snapshot(fi)
	}
	return fi.Apply(op.fl.Timeline())
}

// Holds implements server.Process.
func (op *operated) Holds() ([]byte, error) {
	if en := op.fl.Entry(op.name); en != nil {
		return en.Holds.Export()
	}
	return json.Marshal([]struct{}{})
}

// Lift implements server.Process.
func (op *operated) Lift(_ context.Context, digest uint64) int {
	lifted := 0
	if en := op.fl.Entry(op.name); en != nil && en.Lift(digest) {
		lifted++
	}
	for _, up := range op.fl.Config.Upstreams {
		if ag := op.fl.Agent(up.Name); ag != nil && ag.Holds.Lift(digest) {
			lifted++
		}
	}
	return lifted
}

// RefreshSlots implements server.Process.
func (op *operated) RefreshSlots(service string) {
	if en := op.fl.Entry(op.name); en != nil {
		en.RefreshSlots(service)
	}
}

// Drain implements server.Process for the agents. The entries of a local
// fleet end with its process.
func (op *operated) Drain(_ context.Context, name string) error {
	if op.fl.Agent(name) == nil {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "no agent %q runs in this local fleet", name)
	}
	op.drains.Go(func() { _ = op.fl.DrainAgent(op.ctx, name) })
	return nil
}
