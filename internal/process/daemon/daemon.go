// Package daemon runs one entry or one agent as a separate process.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
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

// drainMargin is added to the longest deadline to bound a drain, in which every
// request in flight ends and every keyed call is recorded.
const drainMargin = 15 * time.Second

// finalFlushTimeout bounds the write of cost records at shutdown.
const finalFlushTimeout = 5 * time.Second

// role is the part of a daemon that differs between an entry and an agent.
type role interface {
	server.Process
	// open starts serving. It returns once the process listens, or with the
	// error of ctx.
	open(ctx context.Context) error
	// config returns the store of the configuration, nil before open.
	config() *version.Store
	// ledger returns the cost ledger. It is called after open.
	ledger() *ledger.Ledger
	// shutdown drains the calls in flight and stops.
	shutdown(ctx context.Context) error
}

// Daemon is an entry or agent process.
type Daemon struct {
	clk      citronstream.Clock
	log      logr.Logger
	settings *settings.Settings
	checker  *check.Checker
	token    string
	platform citronstream.Platform
	metrics  *metrics.Set
	eng      *nbconn.Engine
	started  time.Time
	tls      *tls.Config

	role           role
	leaving        atomic.Bool
	drainRequested chan struct{}
}

// New returns a daemon. An error for invalid settings names the key.
func New(clk citronstream.Clock, set *settings.Settings, ch *check.Checker, log logr.Logger) (*Daemon, error) {
	if set.Process.Name == "" {
		return nil, errors.New("settings key Process.Name: missing")
	}
	da := &Daemon{clk: clk, log: log.WithName(set.Process.Name), settings: set, checker: ch, started: clk.Now(), drainRequested: make(chan struct{})}
	secret, err := set.Process.Tokens.PeerToken(os.ReadFile, os.Getenv)
	if err != nil {
		return nil, err
	}
	da.token = secret.Reveal()
	if da.platform, err = Open(clk, set.Platform); err != nil {
		return nil, err
	}
	if da.tls, err = loadTLS(set.Process.TLS); err != nil {
		return nil, err
	}
	da.metrics = metrics.New(da.version)
	return da, nil
}

// Entry serves callers until ctx ends or an operator drains it.
func (da *Daemon) Entry(ctx context.Context) error { return da.run(ctx, newEntry(da)) }

// Agent serves entries until ctx ends or an operator drains it.
func (da *Daemon) Agent(ctx context.Context) error { return da.run(ctx, newAgent(da)) }

// limits returns the limits in force. Before the first configuration these are
// the limits of the settings' Fleet, or the defaults.
func (da *Daemon) limits() citronstream.Limits {
	if fl := da.fleet(); fl != nil {
		return fl.Limits
	}
	if da.settings.Fleet != nil {
		return da.settings.Fleet.Limits
	}
	return citronstream.DefaultLimits()
}

// fleet returns the configuration in force, nil before the first one.
func (da *Daemon) fleet() *citronstream.Fleet {
	if st := da.store(); st != nil && st.Version() > 0 {
		return st.Current().Fleet
	}
	return nil
}

func (da *Daemon) store() *version.Store {
	if da.role == nil {
		return nil
	}
	return da.role.config()
}

func (da *Daemon) version() uint64 {
	if fl := da.fleet(); fl != nil {
		return fl.Version
	}
	return 0
}

// run runs the process. When signal ends, the process drains; its own context
// does not end with signal.
func (da *Daemon) run(signal context.Context, ro role) error {
	da.role = ro
	ctx, cancel := context.WithCancel(context.WithoutCancel(signal))
	defer cancel()
	var err error
	if da.eng, err = nbconn.New(nbconn.WithPollers(2)); err != nil {
		return err
	}
	defer da.eng.Stop()
	op := server.New(da.clk, da.settings.Process.Admin, ro, server.WithLog(da.log), server.WithOperators(da.settings.Process.Tokens.Operators),
		server.WithMetrics(da.metrics.Handler()), server.WithConfig(da.store, da.configFaults), server.WithTable(da.platform.Table), server.WithTLS(da.tls), server.WithLimits(da.limits()))
	da.metrics.AddOperators(op)
	if err := op.Start(ctx); err != nil {
		return err
	}
	defer op.Stop()
	if opened, err := da.open(ctx, signal); err != nil || !opened {
		return err
	}
	return da.serve(ctx, signal)
}

// open starts the role under ctx. It returns false without an error if the
// process is told to end first.
func (da *Daemon) open(ctx, signal context.Context) (bool, error) {
	failed := make(chan error, 1)
	opening, cancel := context.WithCancel(ctx)
	go func() { failed <- da.role.open(opening) }()
	select {
	case err := <-failed:
		context.AfterFunc(ctx, cancel)
		return err == nil, err
	case <-signal.Done():
	case <-da.drainRequested:
	}
	cancel()
	<-failed
	return false, nil
}

// serve runs until the process is told to end, and drains it.
func (da *Daemon) serve(ctx, signal context.Context) error {
	flushCtx, stop := context.WithCancel(ctx)
	defer stop()
	flushed := make(chan error, 1)
	go func() { flushed <- da.flush(flushCtx) }()
	da.log.Info("serving", "admin", da.settings.Process.Admin)
	select {
	case <-signal.Done():
	case <-da.drainRequested:
	}
	da.leaving.Store(true)
	da.log.Info("draining")
	limit, cancel := context.WithCancel(ctx)
	defer cancel()
	defer da.clk.AfterFunc(da.drainLimit(), cancel).Stop()
	err := da.role.shutdown(limit)
	stop()
	if lost := <-flushed; lost != nil {
		da.log.Error(lost, "cost records of the last interval are lost")
	}
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	da.log.Info("drained")
	return nil
}

// flush writes the cost records at the configured interval with a jitter of a
// quarter, so that processes that start together don't write together. When ctx
// ends, it flushes a last time and returns the error of that.
func (da *Daemon) flush(ctx context.Context) error {
	for {
		every := da.limits().CostFlush.Std()
		select {
		case <-ctx.Done():
			last, cancel := context.WithCancel(context.WithoutCancel(ctx))
			defer cancel()
			defer da.clk.AfterFunc(finalFlushTimeout, cancel).Stop()
			return da.role.ledger().Flush(last)
		case <-da.clk.After(every*3/4 + rand.N(every/2)):
			_ = da.role.ledger().Flush(ctx) // unconfirmed records are written again next time
		}
	}
}

func (da *Daemon) drainLimit() time.Duration {
	longest := time.Duration(0)
	if fl := da.fleet(); fl != nil {
		for _, ra := range fl.Ranks {
			longest = max(longest, ra.Deadline.Std())
		}
	}
	return longest + drainMargin
}

// requestDrain tells the process to drain and end.
func (da *Daemon) requestDrain() {
	if da.leaving.CompareAndSwap(false, true) {
		close(da.drainRequested)
	}
}

func (da *Daemon) configFaults(fl *citronstream.Fleet) []string {
	var texts []string
	for _, fa := range da.checker.Inventory(fl) {
		if !fa.Warning {
			texts = append(texts, fa.String())
		}
	}
	return texts
}

// notReady returns why the process can't serve, whatever its role.
func (da *Daemon) notReady() error {
	switch {
	case da.leaving.Load():
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "leaving")
	case da.fleet() == nil || !da.store().Ready():
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no recent configuration is known")
	}
	return nil
}

// unlessDefault returns a setting, or an empty string if it has its default value.
func unlessDefault(set, byDefault string) string {
	if set == byDefault {
		return ""
	}
	return set
}

// status returns the fields that entries and agents have in common.
func (da *Daemon) status(role string, ready error) report.Status {
	st := report.Status{
		Process: da.settings.Process.Name, Role: role, Started: da.started.UTC(), Version: da.version(), Leaving: da.leaving.Load(),
	}
	if ready != nil {
		st.NotReady = citronstream.FaultOf(ready).Text
	}
	return st
}
