// Package discovery lets the entries of a site discover each other through the
// platform's store.
package discovery

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/go-logr/logr"
)

const (
	prefix = "Entries/"
	// retryDelay is the mean wait after a failed call.
	retryDelay = 300 * time.Millisecond
	// readInterval is the mean time between two reads of the rows by an entry with
	// few peers, intervalPerPeer that of many. New entries connect to the others,
	// so the rows only reveal entries that were missed.
	readInterval    = 20 * time.Second
	intervalPerPeer = time.Second
	// removeAfter is how long an entry is unreachable before its row is removed.
	// A process that restarts under the name writes the row again.
	removeAfter = 90 * time.Second
	// maxListed is the number of rows above which the store's answer may be cut.
	maxListed = 500
)

// row is the stored value of an entry's row.
type row struct {
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
}

// Discovery writes the row of this process and reads those of the others.
type Discovery struct {
	clk    citronstream.Clock
	log    logr.Logger
	table  citronstream.Table
	mesh   *mesh.Mesh
	name   string
	ownRow row
	// malformed has the versions of the malformed rows of the last read, by key.
	malformed     map[string]uint64
	written       bool          // the row of this process
	lossesAtWrite uint64        // value of losses when it was written
	losses        atomic.Uint64 // how often the store may have lost the row
	onList        func(addresses []string, began time.Time)
	refresh       chan struct{}
	onFirst       func()
}

// Option configures a Discovery.
type Option func(*Discovery)

// WithOnList sets the function that is called with the addresses of all entries after each
// complete read of their rows, and when it began. Until the row of this process is written,
// the others may not know of it, and the function is not called.
func WithOnList(onList func(addresses []string, began time.Time)) Option {
	return func(di *Discovery) { di.onList = onList }
}

// WithOnFirstStart sets the function that is called if there is no row of any entry, which
// Run finds out before it writes that of this process. A missing row of this name says
// nothing: a replacement has a new one, and peers remove the rows of unreachable entries.
func WithOnFirstStart(onFirst func()) Option {
	return func(di *Discovery) { di.onFirst = onFirst }
}

// New returns a Discovery for the process with this name, peer address and zone.
func New(clk citronstream.Clock, log logr.Logger, table citronstream.Table, ms *mesh.Mesh, name, address, zone string, opts ...Option) *Discovery {
	di := &Discovery{
		clk: clk, log: log, table: table, mesh: ms, name: name, ownRow: row{Address: address, Zone: zone},
		onList: func([]string, time.Time) {}, refresh: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(di)
	}
	return di
}

// Refresh lets Run read the rows of the others now.
func (di *Discovery) Refresh() {
	select {
	case di.refresh <- struct{}{}:
	default:
	}
}

// Renew makes Run write the row of this process again: the store may have lost it.
func (di *Discovery) Renew() {
	di.losses.Add(1)
	di.Refresh()
}

// isWritten reports whether the row of this process was written and not lost since.
func (di *Discovery) isWritten() bool { return di.written && di.lossesAtWrite == di.losses.Load() }

// Run writes the row of this process, again if another entry has removed it, and reads those
// of the others until ctx ends.
func (di *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := max(readInterval, time.Duration(di.mesh.LiveCount())*intervalPerPeer)
		if !di.isWritten() {
			losses := di.losses.Load()
			err := di.announce(ctx)
			di.written, di.lossesAtWrite = err == nil, losses
			if err != nil {
				di.log.Info("own row not written", "reason", err.Error())
				wait = retryDelay
			}
		}
		found, err := di.readRows(ctx)
		if err != nil {
			wait = min(wait, 4*retryDelay)
		}
		if err == nil && di.isWritten() && !found {
			// Others could not reach this process for long. It is reachable again, or is cut
			// off from them only; they add it again by its row.
			di.written = false
			wait = retryDelay
			di.log.Info("own row missing, written again")
		}
		timer := di.clk.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		case <-di.refresh:
		}
		timer.Stop()
	}
}

// announce writes the row of this process, once it is known whether there are rows of entries.
func (di *Discovery) announce(ctx context.Context) error {
	if di.onFirst != nil {
		rows, err := di.table.List(ctx, prefix, "", 1)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			di.onFirst()
		}
		di.onFirst = nil
	}
	return di.write(ctx)
}

func (di *Discovery) write(ctx context.Context) error {
	value, err := json.Marshal(di.ownRow)
	if err != nil {
		return err
	}
	return di.table.Write(ctx, "", citronstream.Op{Key: prefix + di.name, Value: value, IfVersion: citronstream.AnyVersion})
}

// readRows adds the entries with a row to the mesh and removes the rows of those that have
// been unreachable for long. It reports whether it has found that of this process, or may
// have missed it.
func (di *Discovery) readRows(ctx context.Context) (found bool, err error) {
	began := di.clk.Now()
	rows, err := di.table.List(ctx, prefix, "", maxListed)
	if err != nil {
		return false, err
	}
	addresses := make([]string, 0, len(rows))
	defer func() {
		if di.isWritten() && found && len(rows) < maxListed {
			di.onList(addresses, began)
		}
	}()
	found = len(rows) >= maxListed
	logged := di.malformed
	di.malformed = make(map[string]uint64)
	for _, ro := range rows {
		found = found || ro.Key == prefix+di.name
		var other row
		if err := json.Unmarshal(ro.Value, &other); err != nil || other.Address == "" {
			if di.malformed[ro.Key] = ro.Version; logged[ro.Key] != ro.Version {
				di.log.Info("row of an entry malformed", "key", ro.Key, "revision", citronstream.FormatVersion(ro.Version))
			}
			continue
		}
		if ro.Key == prefix+di.name && other != di.ownRow {
			found = false // it is of an earlier process of this name, in a copy of the store
			continue
		}
		addresses = append(addresses, other.Address)
		pe := di.mesh.AddPeer(other.Address, other.Zone)
		if pe == nil || pe.UnreachableFor() < removeAfter {
			continue
		}
		err := di.table.Write(ctx, "", citronstream.Op{Key: ro.Key, IfVersion: ro.Version, Delete: true})
		di.log.Info("removing the row of an unreachable entry", "key", ro.Key, "lost", pe.UnreachableFor().String(), "done", err == nil)
	}
	return found, nil
}
