package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/entry/server"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/meter"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/process/entry"
	"github.com/citronstream/citronstream/internal/route/table"
	"golang.org/x/sync/errgroup"
)

// Bounds on calls to all agents.
const (
	agentTimeout       = 2 * time.Second
	maxConcurrentCalls = 32
)

// entryRole runs a daemon as an entry.
type entryRole struct {
	da *Daemon
	en atomic.Pointer[entry.Entry]
	// configured is true if the configuration in force has this entry.
	configured atomic.Bool
}

func newEntry(da *Daemon) *entryRole { return &entryRole{da: da} }

func (ro *entryRole) open(ctx context.Context) error {
	da := ro.da
	zone, address, err := ro.zoneAndAddress()
	if err != nil {
		return err
	}
	te := &tee{set: da.metrics}
	en := entry.New(ctx, da.clk, da.eng, entry.Settings{
		Name: da.settings.Process.Name, Zone: zone, Seed: uint64(da.started.UnixNano()), Token: da.token,
		Peers: da.settings.Process.Peers, Platform: da.platform, Limits: da.limits(),
		ServerOptions: []server.Option{server.WithReady(ro.checkServing), server.WithDone(ro.countRequest), server.WithTLS(da.tls), server.WithLog(da.log)},
		RunnerOptions: []pipeline.Option{pipeline.WithMeter(te)},
	}, address, da.log)
	te.next = meter.New(en.Ledger, ledger.SideEntry)
	if err := en.Start(); err != nil {
		return err
	}
	en.Config.Subscribe(func(sn *version.Snapshot) {
		ro.configured.Store(slices.ContainsFunc(sn.Fleet.Entries, func(one citronstream.Entry) bool { return one.Name == da.settings.Process.Name }))
	})
	ro.en.Store(en)
	da.metrics.AddEntry(en)
	da.metrics.AddLedger(en.Ledger)
	return nil
}

// zoneAndAddress returns the zone and the callers' address from the settings'
// Process, or else from the entry in the settings' Fleet.
func (ro *entryRole) zoneAndAddress() (zone, address string, err error) {
	pr := &ro.da.settings.Process
	zone, address = pr.Zone, pr.Listen
	if fl := ro.da.settings.Fleet; fl != nil {
		for _, self := range fl.Entries {
			if self.Name != pr.Name {
				continue
			}
			address = cmp.Or(unlessDefault(pr.Listen, settings.New().Process.Listen), self.Address)
			for _, inst := range fl.Instances {
				if inst.Name == self.Instance {
					zone = cmp.Or(zone, inst.Zone)
				}
			}
		}
	}
	if zone == "" {
		return "", "", errors.New("settings key Process.Zone: missing")
	}
	return zone, address, nil
}

// countRequest counts a request in the metrics of its rank.
func (ro *entryRole) countRequest(rq *pipeline.Request, took time.Duration, _ *pipeline.Outcome) {
	name := "unknown"
	if fl := ro.da.fleet(); fl != nil && rq.Rank < len(fl.Ranks) {
		name = fl.Ranks[rq.Rank].Name
	}
	ro.da.metrics.Request(name, took)
}

func (ro *entryRole) config() *version.Store {
	if en := ro.en.Load(); en != nil {
		return en.Config
	}
	return nil
}

func (ro *entryRole) ledger() *ledger.Ledger { return ro.en.Load().Ledger }

func (ro *entryRole) shutdown(ctx context.Context) error { return ro.en.Load().Shutdown(ctx) }

// checkServing returns why callers can't be served. An entry that is not in the
// configuration must not forward keyed calls: the successor of a dead agent asks
// only the configured entries for calls that have no row in the table.
func (ro *entryRole) checkServing() error {
	if err := ro.da.notReady(); err != nil {
		return err
	}
	if !ro.configured.Load() {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "the configuration has no entry %q", ro.da.settings.Process.Name)
	}
	return nil
}

// Ready implements server.Process.
func (ro *entryRole) Ready() error {
	if err := ro.checkServing(); err != nil {
		return err
	}
	if si := ro.en.Load().Agents.Sizes(); si.Agents > 0 && si.Links == 0 {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "none of %d agents is linked", si.Agents)
	}
	return nil
}

// Status implements server.Process.
func (ro *entryRole) Status(ctx context.Context) report.Status {
	st := ro.da.status(report.RoleEntry, ro.Ready())
	en := ro.en.Load()
	if en == nil {
		return st
	}
	st.InFlight = en.Server.InFlight()
	st.Upstreams = Upstreams(en)
	st.Agents = callAgents[report.Status](ctx, ro, en, citronstream.MethodAdminStatus, struct{}{})
	slices.SortFunc(st.Agents, func(ag, other report.Status) int { return cmp.Compare(ag.Process, other.Process) })
	return st
}

// Upstreams returns an entry's routing table, sorted by name.
func Upstreams(en *entry.Entry) []report.Upstream {
	var list []report.Upstream
	en.Routes.Snapshot().Each(func(sv *table.Service) {
		for _, nd := range sv.Nodes {
			list = append(list, upstreamStatus(en, nd))
		}
	})
	slices.SortFunc(list, func(up, other report.Upstream) int { return cmp.Compare(up.Name, other.Name) })
	return list
}

func upstreamStatus(en *entry.Entry, nd *table.Node) report.Upstream {
	now := nd.Status()
	up := report.Upstream{
		Name: nd.Name, Service: nd.Service, Zone: nd.Zone, State: now.State.String(),
		Linked: en.Agents.Link(nd.Name) != nil, Load: nd.Load(), Weight: nd.Weight(),
	}
	if now.State != table.Live {
		up.Cause, up.Since = now.Source.String(), now.At
	}
	return up
}

// Timeline implements server.Process.
func (ro *entryRole) Timeline(ctx context.Context, fi timeline.Filter, onlyOwn bool) []citronstream.Event {
	en := ro.en.Load()
	if en == nil {
		return nil
	}
	lists := [][]citronstream.Event{en.Timeline.Snapshot(fi)}
	if !onlyOwn {
		for _, li := range callAgents[report.Timeline](ctx, ro, en, citronstream.MethodTimeline, fi) {
			lists = append(lists, li.Events)
		}
	}
	return timeline.Filter{Limit: fi.Limit}.Apply(timeline.Merge(lists...))
}

// Holds implements server.Process.
func (ro *entryRole) Holds() ([]byte, error) {
	if en := ro.en.Load(); en != nil {
		return en.Holds.Export()
	}
	return json.Marshal([]struct{}{})
}

// Lift implements server.Process.
func (ro *entryRole) Lift(ctx context.Context, digest uint64) int {
	en := ro.en.Load()
	if en == nil {
		return 0
	}
	lifted := 0
	if en.Lift(digest) {
		lifted++
	}
	for _, li := range callAgents[report.LiftedHold](ctx, ro, en, report.MethodLiftHold, report.LiftHold{Digest: digest}) {
		lifted += li.Processes
	}
	return lifted
}

// RefreshSlots implements server.Process.
func (ro *entryRole) RefreshSlots(service string) {
	if en := ro.en.Load(); en != nil {
		en.RefreshSlots(service)
	}
}

// Drain implements server.Process.
func (ro *entryRole) Drain(ctx context.Context, name string) error {
	if name == "" || name == ro.da.settings.Process.Name {
		ro.da.requestDrain()
		return nil
	}
	if en := ro.en.Load(); en != nil {
		if li := en.Agents.Link(name); li != nil {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer ro.da.clk.AfterFunc(agentTimeout, cancel).Stop()
			return li.Call(ctx, citronstream.MethodAdminDrain, report.Drain{Name: name}, &report.Drain{})
		}
	}
	return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "no process %q is linked to this entry", name)
}

// callAgents calls a method of all linked agents concurrently and returns the
// replies that arrive within agentTimeout.
func callAgents[T any](ctx context.Context, ro *entryRole, en *entry.Entry, method string, params any) []T {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer ro.da.clk.AfterFunc(agentTimeout, cancel).Stop()
	var mu sync.Mutex
	var answers []T
	var eg errgroup.Group
	eg.SetLimit(maxConcurrentCalls)
	en.Agents.Links(func(_ string, li *link.Link) {
		eg.Go(func() error {
			var answer T
			if li.Call(ctx, method, params, &answer) == nil {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, answer)
			}
			return nil
		})
	})
	_ = eg.Wait() // agents that don't reply are omitted
	return answers
}
