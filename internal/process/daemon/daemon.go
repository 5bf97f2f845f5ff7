// Package daemon runs one entry or one agent as a process of its own.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/metrics"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/citronstream/citronstream/internal/operator/server"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
)

const (
	// bootPause is the wait between attempts to get a configuration.
	bootPause = 500 * time.Millisecond
	// drainMargin is added to the longest deadline: within both, each request
	// in flight has ended and each keyed call is recorded.
	drainMargin = 15 * time.Second
	// agentQuiet is how long an agent that hears from entries leaves the table alone.
	agentQuiet = 10 * time.Second
)

// role is what an entry and an agent do differently.
type role interface {
	server.Process
	// open puts the first configuration in force and starts to serve.
	open(ctx context.Context, fl *citronstream.Fleet) error
	apply(fl *citronstream.Fleet) error
	// shutdown ends what is in flight and stops.
	shutdown(ctx context.Context) error
}

// Daemon is one process of the system.
type Daemon struct {
	clk     citronstream.Clock
	log     logr.Logger
	set     *settings.Settings
	check   *check.Checker
	token   string
	plat    citronstream.Platform
	store   *version.Store
	metrics *metrics.Set
	ledger  *ledger.Ledger
	eng     *nbconn.Engine
	started time.Time
	tls     *tlsConfig

	fleet   atomic.Pointer[citronstream.Fleet]
	leaving atomic.Bool
	drained chan struct{}
}

// New returns a daemon of these settings. Errors name the settings key at fault.
func New(clk citronstream.Clock, set *settings.Settings, ch *check.Checker, log logr.Logger) (*Daemon, error) {
	if set.Process.Name == "" {
		return nil, errors.New("settings key Process.Name: missing")
	}
	da := &Daemon{clk: clk, log: log.WithName(set.Process.Name), set: set, check: ch, started: clk.Now(), drained: make(chan struct{})}
	secret, err := set.Process.Tokens.PeerToken(os.ReadFile, os.Getenv)
	if err != nil {
		return nil, err
	}
	da.token = secret.Reveal()
	if da.plat, err = Open(clk, set.Platform); err != nil {
		return nil, err
	}
	if da.tls, err = loadTLS(set.Process.TLS); err != nil {
		return nil, err
	}
	da.metrics = metrics.New(da.version)
	return da, nil
}

func (da *Daemon) version() uint64 {
	if fl := da.fleet.Load(); fl != nil {
		return fl.Version
	}
	return 0
}

// Entry serves callers until ctx ends or an operator drains it.
func (da *Daemon) Entry(ctx context.Context) error {
	da.store = version.New(da.clk, da.plat.Table, da.plat.Objects, version.WithPoll(da.poll()))
	return da.run(ctx, newEntry(da))
}

// Agent serves entries until ctx ends or an operator drains it.
func (da *Daemon) Agent(ctx context.Context) error {
	da.store = version.New(da.clk, da.plat.Table, da.plat.Objects, version.WithPoll(da.poll()), version.WithQuiet(agentQuiet))
	return da.run(ctx, newAgent(da))
}

// poll is the interval of the settings' own fleet, or the default.
func (da *Daemon) poll() time.Duration {
	if da.set.Fleet != nil {
		return da.set.Fleet.Limits.ConfigPoll.Std()
	}
	return citronstream.DefaultLimits().ConfigPoll.Std()
}

// run is the life of a process. Signal ends when it is to drain; what the
// process does then goes on under a context of its own.
func (da *Daemon) run(signal context.Context, ro role) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(signal))
	defer cancel()
	var err error
	if da.eng, err = nbconn.New(nbconn.WithPollers(2)); err != nil {
		return err
	}
	defer da.eng.Stop()
	da.ledger = ledger.New(da.plat.Table, da.clk, da.set.Process.Name, uint64(da.started.UnixMilli()), da.flushEvery())
	da.metrics.AddLedger(da.ledger)
	op := server.New(da.clk, da.set.Process.Admin, ro, server.WithOperators(da.set.Process.Tokens.Operators),
		server.WithMetrics(da.metrics.Handler()), server.WithConfig(da.store, da.faults), server.WithTable(da.plat.Table), server.WithTLS(da.tls))
	if err := op.Start(ctx); err != nil {
		return err
	}
	defer op.Stop()
	first, err := da.boot(signal)
	if err != nil || first == nil {
		return err
	}
	if err := ro.open(ctx, first); err != nil {
		return err
	}
	da.fleet.Store(first)
	return da.serve(ctx, signal, ro)
}

// serve follows the configuration until the process is to end, and drains it.
func (da *Daemon) serve(ctx, signal context.Context, ro role) error {
	follow, stop := context.WithCancel(ctx)
	defer stop()
	flushed := da.ledger.Run(follow)
	da.store.Subscribe(func(sn *version.Snapshot) { da.follow(ro, sn.Fleet) })
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		da.store.Run(follow)
	}()
	da.log.Info("serving", "version", da.version(), "admin", da.set.Process.Admin)
	select {
	case <-signal.Done():
	case <-da.drained:
	}
	da.leaving.Store(true)
	da.log.Info("draining")
	limit, cancel := context.WithCancel(ctx)
	defer cancel()
	defer da.clk.AfterFunc(da.drainLimit(), cancel).Stop()
	err := ro.shutdown(limit)
	stop()
	<-followed
	if lost := <-flushed; lost != nil {
		da.log.Error(lost, "cost records of the last interval are lost")
	}
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	da.log.Info("drained")
	return nil
}

func (da *Daemon) drainLimit() time.Duration {
	longest := time.Duration(0)
	for _, ra := range da.fleet.Load().Ranks {
		longest = max(longest, ra.Deadline.Std())
	}
	return longest + drainMargin
}

// boot waits for a configuration: the accepted one, or that of the settings
// while the table says that none has been accepted. It returns nil when ctx ends.
func (da *Daemon) boot(ctx context.Context) (*citronstream.Fleet, error) {
	for told := false; ; {
		err := da.store.Bootstrap(ctx, nil, nil)
		if err == nil {
			return da.store.Current().Fleet, nil
		}
		if ctx.Err() == nil && da.set.Fleet != nil && da.noneAccepted(ctx) {
			return da.set.Fleet, nil
		}
		if !told {
			da.log.Info("waiting for a configuration", "reason", err.Error())
			told = true
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-da.drained:
			return nil, nil
		case <-da.clk.After(bootPause):
		}
	}
}

func (da *Daemon) noneAccepted(ctx context.Context) bool {
	_, err := da.plat.Table.Get(ctx, version.RowKey)
	return errors.Is(err, citronstream.ErrNotFound)
}

func (da *Daemon) follow(ro role, fl *citronstream.Fleet) {
	if fl.Version <= da.version() {
		return
	}
	if err := ro.apply(fl); err != nil {
		da.log.Error(err, "configuration not applied", "version", fl.Version)
		return
	}
	da.fleet.Store(fl)
	da.log.Info("configuration in force", "version", fl.Version)
}

// drain starts the end of this process.
func (da *Daemon) drain() {
	if da.leaving.CompareAndSwap(false, true) {
		close(da.drained)
	}
}

func (da *Daemon) faults(fl *citronstream.Fleet) []string {
	var texts []string
	for _, fa := range da.check.Inventory(fl) {
		if !fa.Warning {
			texts = append(texts, fa.String())
		}
	}
	return texts
}

func (da *Daemon) flushEvery() ledger.Option {
	if da.set.Fleet != nil {
		return ledger.WithInterval(da.set.Fleet.Limits.CostFlush.Std())
	}
	return ledger.WithInterval(citronstream.DefaultLimits().CostFlush.Std())
}

// notReady returns why the process as such can't serve.
func (da *Daemon) notReady() error {
	switch {
	case da.leaving.Load():
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "leaving")
	case da.fleet.Load() == nil:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no configuration is in force")
	}
	return nil
}

// own returns an address of the settings, or that of the fleet if the
// settings keep the default.
func own(set, byDefault, fleet string) string {
	if set == byDefault && fleet != "" {
		return fleet
	}
	return set
}

// status is what entries and agents report alike.
func (da *Daemon) status(role string, ready error) report.Status {
	st := report.Status{
		Process: da.set.Process.Name, Role: role, Started: da.started.UTC(), Version: da.version(), Leaving: da.leaving.Load(),
	}
	if ready != nil {
		st.NotReady = citronstream.FaultOf(ready).Text
	}
	return st
}
