// Package register makes the entries of a site known to each other through
// the platform's store.
package register

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/go-logr/logr"
)

const (
	prefix = "Entries/"
	// retry is the mean wait after a failed call.
	retry = 300 * time.Millisecond
	// lookEvery is the mean time between two looks at the rows. New entries
	// introduce themselves, so the rows only repair what was missed.
	lookEvery = 20 * time.Second
	// dropAfter is how long an entry is out of reach before its row is removed.
	// A process that starts again under the name writes its row anew.
	dropAfter = 90 * time.Second
	maxRows   = 1024
)

// row is the value of an entry's row.
type row struct {
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
}

// Register keeps the row of this process and reads those of the others.
type Register struct {
	clk   citronstream.Clock
	log   logr.Logger
	table citronstream.Table
	mesh  *mesh.Mesh
	name  string
	own   row
}

// New returns a register of the process with this name, peer address and zone.
func New(clk citronstream.Clock, log logr.Logger, table citronstream.Table, me *mesh.Mesh, name, address, zone string) *Register {
	return &Register{clk: clk, log: log, table: table, mesh: me, name: name, own: row{Address: address, Zone: zone}}
}

// Run writes the row of this process once and looks at the others until ctx ends.
func (rg *Register) Run(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		wait := lookEvery
		if !written {
			err := rg.write(ctx)
			written = err == nil
			if err != nil {
				rg.log.Info("entry not registered", "reason", err.Error())
				wait = retry
			}
		}
		if err := rg.look(ctx); err != nil {
			wait = min(wait, 4*retry)
		}
		timer := rg.clk.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

func (rg *Register) write(ctx context.Context) error {
	value, err := json.Marshal(rg.own)
	if err != nil {
		return err
	}
	return rg.table.Write(ctx, "", citronstream.Op{Key: prefix + rg.name, Value: value, IfVersion: citronstream.AnyVersion})
}

// look makes the entries with a row known, and removes the rows of those that are gone.
func (rg *Register) look(ctx context.Context) error {
	rows, err := rg.table.List(ctx, prefix, "", maxRows)
	if err != nil {
		return err
	}
	now := rg.clk.Now()
	for _, ro := range rows {
		var other row
		if err := json.Unmarshal(ro.Value, &other); err != nil || other.Address == "" {
			rg.log.Info("row names no entry", "key", ro.Key)
			continue
		}
		pe := rg.mesh.Learn(other.Address, other.Zone)
		if pe == nil || pe.LostFor(now) < dropAfter {
			continue
		}
		err := rg.table.Write(ctx, "", citronstream.Op{Key: ro.Key, IfVersion: ro.Version, Delete: true})
		rg.log.Info("row of a lost entry removed", "key", ro.Key, "lost", pe.LostFor(now).String(), "done", err == nil)
	}
	return nil
}
