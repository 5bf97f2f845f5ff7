// Package snapshot keeps the list of upstreams in use in a row of the platform's store
// that does not expire. Load pattern: all processes of a site are killed while the store is
// away. Upstreams cannot write their rows then, so these have expired when the store
// returns, and are back only about two seconds later. A process that starts then uses the
// upstreams of the snapshot until their rows are back or their grace period has ended.
package snapshot

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
)

const (
	// Key is the key of the row.
	Key = "Snapshots/Upstreams"
	// checkInterval is the time between two looks at the list, and the shortest time
	// between two writes.
	checkInterval = time.Second
	// maxBytes is the largest value that the store takes, with some room. It holds about
	// 1,500 upstreams.
	maxBytes = 60 << 10
	// maxText bounds the decoded list.
	maxText = 4 << 20
)

// Snapshot writes and reads the row.
type Snapshot struct {
	clk   citronstream.Clock
	log   logr.Logger
	table citronstream.Table
	// list returns the upstreams in use, writes reports whether this process writes the row.
	list          func() []citronstream.Member
	writes        func() bool
	written       uint64        // digest of the list that was written last
	lossesAtWrite uint64        // value of losses when it was written
	losses        atomic.Uint64 // how often the store may have lost the row
	tooLong       bool          // it was logged that the list does not fit
}

// New returns a snapshot of a list. Writes reports whether this process is the one of its
// site that writes the row; two that do only cost a call.
func New(clk citronstream.Clock, log logr.Logger, table citronstream.Table, list func() []citronstream.Member, writes func() bool) *Snapshot {
	return &Snapshot{clk: clk, log: log, table: table, list: list, writes: writes}
}

// Run writes the row when the list has changed, until ctx ends.
func (sn *Snapshot) Run(ctx context.Context) {
	ticker := sn.clk.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if sn.writes() {
			sn.write(ctx)
		} else {
			sn.written = 0 // another process writes
		}
	}
}

// Renew makes Run write the row again: the store may have lost it.
func (sn *Snapshot) Renew() { sn.losses.Add(1) }

// write writes the row unless it has the list already.
func (sn *Snapshot) write(ctx context.Context) {
	list := sn.list()
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(a, b citronstream.Member) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	for i := range list {
		list[i].Revision, list[i].Sequence, list[i].Cold = 0, 0, 0 // they change with each heartbeat
	}
	text, err := json.Marshal(list)
	if err != nil {
		sn.log.Error(err, "snapshot of the upstreams not encoded")
		return
	}
	digest := xxhash.Sum64(text)
	losses := sn.losses.Load()
	if digest == sn.written && losses == sn.lossesAtWrite {
		return
	}
	value, err := compress(text)
	if err != nil || len(value) > maxBytes {
		if !sn.tooLong {
			sn.log.Info("snapshot of the upstreams too large", "upstreams", len(list), "bytes", len(value))
		}
		sn.tooLong = true
		return
	}
	if sn.table.Write(ctx, "", citronstream.Op{Key: Key, Value: value, IfVersion: citronstream.AnyVersion}) == nil {
		sn.written, sn.lossesAtWrite = digest, losses
	}
}

// Read returns the upstreams of the row.
func (sn *Snapshot) Read(ctx context.Context) ([]citronstream.Member, error) {
	row, err := sn.table.Get(ctx, Key)
	if err != nil {
		return nil, err
	}
	text, err := expand(row.Value)
	if err != nil {
		return nil, fmt.Errorf("row %s: %w", Key, err)
	}
	var list []citronstream.Member
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("row %s: %w", Key, err)
	}
	return list, nil
}

func compress(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	wr := gzip.NewWriter(&buf)
	if _, err := wr.Write(text); err != nil {
		return nil, err
	}
	if err := wr.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func expand(value []byte) ([]byte, error) {
	rd, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(rd, maxText))
}
