package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/meter"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/process/agent"
)

// agentRole runs a daemon as an agent.
type agentRole struct {
	da      *Daemon
	ag      atomic.Pointer[agent.Agent] // nil before the first configuration
	answers sync.WaitGroup              // pending answers to operators' messages
}

func newAgent(da *Daemon) *agentRole { return &agentRole{da: da} }

func (ro *agentRole) open(ctx context.Context) error {
	da := ro.da
	pr := &da.settings.Process
	te := &tee{set: da.metrics}
	ag, err := agent.Bootstrap(ctx, da.clk, da.eng, agent.Settings{
		Upstream: pr.Name, Token: da.token, Platform: da.platform, Peers: pr.Peers,
		Listen: unlessDefault(pr.PeerListen, settings.New().Process.PeerListen), Address: pr.Upstream, Handler: ro.handle,
		ServerOptions: []server.Option{server.WithMeter(te)},
	}, da.log)
	if err != nil {
		return err
	}
	te.next = meter.New(ag.Ledger, ledger.SideAgent)
	if err := ag.Start(ctx); err != nil {
		return err
	}
	ro.ag.Store(ag)
	da.metrics.AddAgent(ag)
	da.metrics.AddLedger(ag.Ledger)
	return nil
}

func (ro *agentRole) config() *version.Store {
	if ag := ro.ag.Load(); ag != nil {
		return ag.Config
	}
	return nil
}

func (ro *agentRole) ledger() *ledger.Ledger { return ro.ag.Load().Ledger }

func (ro *agentRole) shutdown(ctx context.Context) error {
	err := ro.ag.Load().Shutdown(ctx)
	ro.answers.Wait()
	return err
}

// handle processes operators' messages that an entry forwards.
func (ro *agentRole) handle(_ *link.Link, re *link.Request) bool {
	switch re.Method {
	case citronstream.MethodAdminStatus, citronstream.MethodTimeline, citronstream.MethodAdminDrain, report.MethodLiftHold:
		ro.answers.Go(func() { ro.answer(re) }) // must not block the link's reader
		return true
	}
	return false
}

func (ro *agentRole) answer(re *link.Request) {
	ctx := context.Background()
	var err error
	switch re.Method {
	case citronstream.MethodAdminStatus:
		re.Reply(ro.Status(ctx))
	case citronstream.MethodTimeline:
		var fi timeline.Filter
		if err = re.Decode(&fi); err == nil {
			re.Reply(report.Timeline{Events: ro.Timeline(ctx, fi, true)})
		}
	case citronstream.MethodAdminDrain:
		re.Reply(report.Drain{Name: ro.da.settings.Process.Name}) // reply first: the drain can close the link
		ro.da.requestDrain()
	case report.MethodLiftHold:
		var li report.LiftHold
		if err = re.Decode(&li); err == nil {
			re.Reply(report.LiftedHold{Processes: ro.Lift(ctx, li.Digest)})
		}
	}
	if err != nil {
		re.ReplyError(err)
	}
}

// Ready implements server.Process.
func (ro *agentRole) Ready() error {
	if err := ro.da.notReady(); err != nil {
		return err
	}
	ag := ro.ag.Load()
	if ag.Grant != nil && ag.Grant.Lease() == nil {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no grant from the table, so keyed calls are refused")
	}
	if ag.Server.Load().Down {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "the upstream does not answer")
	}
	return nil
}

// Status implements server.Process.
func (ro *agentRole) Status(context.Context) report.Status {
	st := ro.da.status(report.RoleAgent, ro.Ready())
	if ag := ro.ag.Load(); ag != nil {
		lo := ag.Server.Load()
		st.Load, st.InFlight = &lo, lo.Running+lo.Waiting
	}
	return st
}

// Timeline implements server.Process.
func (ro *agentRole) Timeline(_ context.Context, fi timeline.Filter, _ bool) []citronstream.Event {
	if ag := ro.ag.Load(); ag != nil {
		return ag.Timeline.Snapshot(fi)
	}
	return nil
}

// Holds implements server.Process.
func (ro *agentRole) Holds() ([]byte, error) {
	if ag := ro.ag.Load(); ag != nil {
		return ag.Holds.Export()
	}
	return json.Marshal([]struct{}{})
}

// Lift implements server.Process.
func (ro *agentRole) Lift(_ context.Context, digest uint64) int {
	if ag := ro.ag.Load(); ag != nil && ag.Holds.Lift(digest) {
		return 1
	}
	return 0
}

// RefreshSlots implements server.Process.
func (ro *agentRole) RefreshSlots(string) {
	if ag := ro.ag.Load(); ag != nil && ag.Grant != nil {
		ag.Grant.RequestStep()
	}
}

// Drain implements server.Process.
func (ro *agentRole) Drain(_ context.Context, name string) error {
	if name != "" && name != ro.da.settings.Process.Name {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "this is %q, not %q", ro.da.settings.Process.Name, name)
	}
	ro.da.requestDrain()
	return nil
}
