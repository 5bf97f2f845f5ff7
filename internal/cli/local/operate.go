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

// localEntry serves the operator interface of one entry of a local fleet. It calls
// the agents directly, because they run in the same process.
type localEntry struct {
	ctx     context.Context // of the command
	fl      *local.Fleet
	name    string
	started time.Time
	drains  *sync.WaitGroup
}

// serveOperators serves the operator interface of all entries, each at its admin
// address, until stop is called.
func serveOperators(ctx context.Context, clk citronstream.Clock, fl *local.Fleet) (stop func(), err error) {
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
		pr := &localEntry{ctx: ctx, fl: fl, name: co.Name, started: clk.Now(), drains: drains}
		en := fl.Entry(co.Name)
		set := metrics.New(en.Version)
		set.AddEntry(en)
		set.AddLedger(en.Ledger)
		se := server.New(clk, co.Admin, pr, server.WithMetrics(set.Handler()), server.WithTable(fl.Table),
			server.WithConfig(func() *version.Store { return en.Config }, func(fl *citronstream.Fleet) []string { return errorTexts(ch.Inventory(fl)) }))
		if err := se.Start(ctx); err != nil {
			stop()
			return nil, err
		}
		servers = append(servers, se)
	}
	return stop, nil
}

// errorTexts returns the texts of the faults that are not warnings.
func errorTexts(faults []check.Fault) []string {
	var list []string
	for _, fa := range faults {
		if !fa.Warning {
			list = append(list, fa.String())
		}
	}
	return list
}

// Ready implements server.Process.
func (le *localEntry) Ready() error {
	if en := le.fl.Entry(le.name); en == nil || en.Version() == 0 {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no recent configuration is known")
	}
	return nil
}

// Status implements server.Process.
func (le *localEntry) Status(context.Context) report.Status {
	st := report.Status{Process: le.name, Role: report.RoleEntry, Started: le.started.UTC()}
	en := le.fl.Entry(le.name)
	if en == nil {
		st.NotReady = "stopped"
		return st
	}
	st.Version, st.InFlight, st.Upstreams = en.Version(), en.Server.InFlight(), daemon.Upstreams(en)
	for _, up := range le.fl.Config.Upstreams {
		if ag := le.fl.Agent(up.Name); ag != nil {
			lo := ag.Server.Load()
			st.Agents = append(st.Agents, report.Status{
				Process: up.Name, Role: report.RoleAgent, Started: le.started.UTC(), Version: ag.Config.Version(),
				Leaving: lo.Leaving, InFlight: lo.Running + lo.Waiting, Load: &lo,
			})
		}
	}
	return st
}

// Timeline implements server.Process.
func (le *localEntry) Timeline(_ context.Context, fi timeline.Filter, own bool) []citronstream.Event {
	if en := le.fl.Entry(le.name); own && en != nil {
		return en.Timeline.Snapshot(fi)
	}
	return fi.Apply(le.fl.Timeline())
}

// Holds implements server.Process.
func (le *localEntry) Holds() ([]byte, error) {
	if en := le.fl.Entry(le.name); en != nil {
		return en.Holds.Export()
	}
	return json.Marshal([]struct{}{})
}

// Lift implements server.Process.
func (le *localEntry) Lift(_ context.Context, digest uint64) int {
	lifted := 0
	if en := le.fl.Entry(le.name); en != nil && en.Lift(digest) {
		lifted++
	}
	for _, up := range le.fl.Config.Upstreams {
		if ag := le.fl.Agent(up.Name); ag != nil && ag.Holds.Lift(digest) {
			lifted++
		}
	}
	return lifted
}

// RefreshSlots implements server.Process.
func (le *localEntry) RefreshSlots(service string) {
	if en := le.fl.Entry(le.name); en != nil {
		en.RefreshSlots(service)
	}
}

// Drain implements server.Process for the agents. The entries of a local
// fleet cannot be drained; they end with its process.
func (le *localEntry) Drain(_ context.Context, name string) error {
	if le.fl.Agent(name) == nil {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "no agent %q runs in this local fleet", name)
	}
	le.drains.Go(func() { _ = le.fl.DrainAgent(le.ctx, name) })
	return nil
}
