// Package local runs a whole fleet in one process: stand-ins for the platform
// and the upstreams, an agent for each upstream, and the entries. They talk
// over real loopback sockets.
package local

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/process/agent"
	"github.com/citronstream/citronstream/internal/process/entry"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/gate"
	"github.com/citronstream/citronstream/internal/standin/memlist"
	"github.com/citronstream/citronstream/internal/standin/memobjects"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/citronstream/citronstream/internal/standin/pool"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
	"github.com/go-logr/logr"
)

// peerCount is the number of peer addresses in a process's settings.
const peerCount = 5

// listLag is the delay of the platform's instance list.
const listLag = time.Second

// readyPollInterval is the interval between checks for readiness.
const readyPollInterval = 10 * time.Millisecond

// Upstream is the stand-in for one upstream, with its fault switches.
type Upstream interface {
	Start(ctx context.Context, address string) error
	Done() <-chan struct{}
	Kill()
	Restart() error
	Running() bool
	Pause(on bool)
	Slow(factor float64)
	Fail(rate float64)
	Silent()
}

// Fleet is the running fleet.
type Fleet struct {
	Config  *citronstream.Fleet
	Record  *record.Log
	Table   *memtable.Table
	Objects *memobjects.Store
	List    *memlist.List
	// Operator submits changes of the configuration.
	Operator *version.Store

	clk   citronstream.Clock
	log   logr.Logger
	scale float64
	seed  uint64
	token string

	engines []engine.Option
	servers []server.Option
	tables  []memtable.Option

	ctx    context.Context
	cancel context.CancelFunc
	eng    *nbconn.Engine

	mu        sync.Mutex
	upstreams map[string]Upstream
	agents    map[string]*agent.Agent
	entries   map[string]*entry.Entry
	gates     map[string]*gate.Gate
	killed    map[string]time.Time // by the entry's address
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithScale divides the stand-ins' service times.
func WithScale(scale float64) Option { return func(fl *Fleet) { fl.scale = scale } }

// WithSeed seeds the random choices of the fleet.
func WithSeed(seed uint64) Option { return func(fl *Fleet) { fl.seed = seed } }

// WithLog sets the logger of all processes.
func WithLog(log logr.Logger) Option { return func(fl *Fleet) { fl.log = log } }

// WithEngines adds options to the engines' stand-ins.
func WithEngines(opts ...engine.Option) Option { return func(fl *Fleet) { fl.engines = opts } }

// WithServers adds options to the agents' servers.
func WithServers(opts ...server.Option) Option { return func(fl *Fleet) { fl.servers = opts } }

// WithTable adds options to the stand-in for the table.
func WithTable(opts ...memtable.Option) Option { return func(fl *Fleet) { fl.tables = opts } }

// New starts the fleet of a configuration.
func New(ctx context.Context, clk citronstream.Clock, config *citronstream.Fleet, opts ...Option) (*Fleet, error) {
	fl := &Fleet{
		Config: config, Record: record.New(clk), clk: clk, log: logr.Discard(), scale: 1, seed: 1,
		upstreams: make(map[string]Upstream), agents: make(map[string]*agent.Agent), entries: make(map[string]*entry.Entry),
		killed: make(map[string]time.Time), gates: make(map[string]*gate.Gate),
		Objects: memobjects.New(), List: memlist.New(clk, listLag),
	}
	for _, opt := range opts {
		opt(fl)
	}
	fl.Table = memtable.New(clk, fl.tables...)
	fl.ctx, fl.cancel = context.WithCancel(ctx)
	var err error
	if fl.eng, err = nbconn.New(nbconn.WithPollers(2)); err != nil {
		return nil, err
	}
	if err := fl.start(); err != nil {
		fl.Stop()
		return nil, err
	}
	return fl, nil
}

func (fl *Fleet) start() error {
	for _, inst := range fl.Config.Instances {
		fl.List.Set(citronstream.InstanceState{Instance: inst.Name, Zone: inst.Zone})
	}
	// Show the instances before the agents start: an agent does not take over the
	// slots of an instance that it has never seen in the list.
	fl.List.Show()
	fl.Operator = version.New(fl.clk, fl.Table, fl.Objects)
	if _, err := fl.Operator.Accept(fl.ctx, 0, fl.Config, "local"); err != nil {
		return err
	}
	for _, up := range fl.Config.Upstreams {
		if err := fl.startUpstream(up); err != nil {
			return fmt.Errorf("stand-in %s: %w", up.Name, err)
		}
		if err := fl.StartAgent(up.Name); err != nil {
			return err
		}
	}
	for _, en := range fl.Config.Entries {
		if err := fl.StartEntry(en.Name); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts the stand-in for the service's kind.
func (fl *Fleet) startUpstream(up citronstream.Upstream) error {
	var se *citronstream.Service
	for i := range fl.Config.Services {
		if fl.Config.Services[i].Name == up.Service {
			se = &fl.Config.Services[i]
		}
	}
	if se == nil {
		return fmt.Errorf("no service %q", up.Service)
	}
	var st Upstream
	switch se.Kind {
	case citronstream.KindEngine:
		opts := []engine.Option{engine.WithCapacity(up.Capacity), engine.WithScale(fl.scale), engine.WithSeed(fl.seed), engine.WithModels(up.Models...)}
		if se.ChecksFencing {
			opts = append(opts, engine.WithFencing())
		}
		opts = append(opts, fl.engines...)
		st = engine.New(fl.clk, up.Name, fl.Record, opts...)
	case citronstream.KindPlain:
		opts := []service.Option{service.WithCapacity(up.Capacity), service.WithScale(fl.scale), service.WithSeed(fl.seed)}
		if se.ReportsLoad {
			opts = append(opts, service.WithLoadReport())
		}
		st = service.New(fl.clk, up.Name, fl.Record, opts...)
	default:
		st = pool.New(fl.clk, up.Name, se.Kind, fl.Record,
			pool.WithCapacity(up.Capacity), pool.WithScale(fl.scale), pool.WithSeed(fl.seed))
	}
	if err := st.Start(fl.ctx, up.Address); err != nil {
		return err
	}
	fl.upstreams[up.Name] = st
	return nil
}

// platform returns the stand-ins of the platform's services.
func (fl *Fleet) platform() citronstream.Platform {
	return citronstream.Platform{Table: fl.Table, Objects: fl.Objects, Liveness: fl.List}
}

// peers returns the addresses of some agents other than that of an upstream.
func (fl *Fleet) peers(except string) []string {
	var addresses []string
	for _, up := range fl.Config.Upstreams {
		if up.Name != except && len(addresses) < peerCount {
			addresses = append(addresses, up.Agent)
		}
	}
	return addresses
}

// agentSettings returns the settings of an agent behind its own new gate.
func (fl *Fleet) agentSettings(name string) agent.Settings {
	ga := gate.New()
	fl.mu.Lock()
	fl.gates[name] = ga
	fl.mu.Unlock()
	pl := fl.platform()
	pl.Table = ga.Table(pl.Table)
	return agent.Settings{Upstream: name, Token: fl.token, Platform: pl, Peers: fl.peers(name), Wrap: ga.Protocol, Stream: ga.Stream, ServerOptions: fl.servers}
}

// StartAgent starts the agent of an upstream, also after it was stopped.
func (fl *Fleet) StartAgent(name string) error {
	ag, err := agent.Bootstrap(fl.ctx, fl.clk, fl.eng, fl.agentSettings(name), fl.log)
	if err != nil {
		return err
	}
	if err := ag.Start(fl.ctx); err != nil {
		return err
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.agents[name] = ag
	return nil
}

// StartEntry starts an entry, also after it was stopped.
func (fl *Fleet) StartEntry(name string) error {
	for _, en := range fl.Config.Entries {
		if en.Name != name {
			continue
		}
		pr := entry.New(fl.ctx, fl.clk, fl.eng, entry.Settings{
			Name: name, Zone: fl.zone(en.Instance), Seed: fl.seed, Token: fl.token,
			Platform: fl.platform(), Peers: fl.peers(""), Limits: fl.Config.Limits,
		}, en.Address, fl.log)
		if err := pr.Start(); err != nil {
			return err
		}
		fl.mu.Lock()
		fl.entries[name] = pr
		fl.mu.Unlock()
		return nil
	}
	return fmt.Errorf("no entry %q", name)
}

func (fl *Fleet) zone(instance string) string {
	for _, inst := range fl.Config.Instances {
		if inst.Name == instance {
			return inst.Zone
		}
	}
	return ""
}

// Upstream returns the stand-in of an upstream.
func (fl *Fleet) Upstream(name string) Upstream { return fl.upstreams[name] }

// Agent returns the agent of an upstream.
func (fl *Fleet) Agent(name string) *agent.Agent {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.agents[name]
}

// Entry returns an entry.
func (fl *Fleet) Entry(name string) *entry.Entry {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.entries[name]
}

// Killed reports whether the entry at this address was stopped by a fault after since.
func (fl *Fleet) Killed(address string, since time.Time) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	at, ok := fl.killed[address]
	return ok && at.After(since)
}

// Timeline merges the events of all processes.
func (fl *Fleet) Timeline() []citronstream.Event {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var lists [][]citronstream.Event
	for _, en := range fl.entries {
		lists = append(lists, en.Timeline.Snapshot(timeline.Filter{}))
	}
	for _, ag := range fl.agents {
		lists = append(lists, ag.Timeline.Snapshot(timeline.Filter{}))
	}
	return timeline.Merge(lists...)
}

// Stop stops the fleet, entries first so that no call is interrupted.
func (fl *Fleet) Stop() {
	fl.mu.Lock()
	entries, agents := fl.entries, fl.agents
	fl.entries, fl.agents = map[string]*entry.Entry{}, map[string]*agent.Agent{}
	for _, ga := range fl.gates {
		ga.Pause(false) // a paused agent does not stop
	}
	fl.mu.Unlock()
	for _, en := range entries {
		en.Stop()
	}
	for _, ag := range agents {
		ag.Stop()
	}
	fl.cancel()
	for _, up := range fl.upstreams {
		<-up.Done()
	}
	fl.eng.Stop()
}

// ownedSlots counts the owned idempotency slots by service.
func (fl *Fleet) ownedSlots() map[string]int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	owned := make(map[string]int)
	for _, ag := range fl.agents {
		if ag.Grant != nil {
			owned[ag.Up.Service] += len(ag.Grant.Owned())
		}
	}
	return owned
}

// Ready waits until every entry is linked to each of its upstreams and every
// idempotency slot has an owner.
func (fl *Fleet) Ready(ctx context.Context) error {
	for {
		missing := 0
		for _, en := range fl.entries {
			missing += en.Agents.Missing()
			if en.Version() == 0 {
				missing++
			}
		}
		for _, slots := range fl.ownedSlots() {
			missing += grant.SlotCount - slots
		}
		if missing == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the fleet did not become ready")
		case <-fl.clk.After(readyPollInterval):
		}
	}
}
