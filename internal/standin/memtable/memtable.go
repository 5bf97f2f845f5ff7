// Package memtable simulates the platform's table service in memory, with
// fault injection. It implements citronstream.Table.
package memtable

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"golang.org/x/time/rate"
)

// opIDTTL is how long a repeated operation identifier is recognised,
// as in DynamoDB's ClientRequestToken.
const opIDTTL = 10 * time.Minute

type opRecord struct {
	at  time.Time
	err error
}

// Table is a simulated table. Use New; the zero value is not usable.
type Table struct {
	clk       citronstream.Clock
	reads     atomic.Uint64
	writes    atomic.Uint64
	throttled atomic.Uint64

	down      atomic.Bool
	delay     atomic.Int64 // nanoseconds added to each call
	loseEvery atomic.Int64 // each n-th write's answer is lost; 0 is off
	lost      atomic.Uint64

	audit func(before, after citronstream.Row)

	readLimit  *rate.Limiter
	writeLimit *rate.Limiter

	mu   sync.Mutex
	rows map[string]citronstream.Row
	ops  map[string]opRecord
}

// Option changes a Table.
type Option func(*Table)

// WithRates limits reads and writes per second. Calls above the limit are throttled.
func WithRates(reads, writes float64) Option {
	return func(ta *Table) {
		ta.readLimit = rate.NewLimiter(rate.Limit(reads), int(reads))
		ta.writeLimit = rate.NewLimiter(rate.Limit(writes), int(writes))
	}
}

// WithAudit sets a function that is called with each row before and after a
// write that took effect, in write order. For a new row, before has version 0.
// It must not call the table.
func WithAudit(audit func(before, after citronstream.Row)) Option {
	return func(ta *Table) { ta.audit = audit }
}

// New returns an empty table.
func New(clk citronstream.Clock, opts ...Option) *Table {
	ta := &Table{clk: clk, rows: make(map[string]citronstream.Row), ops: make(map[string]opRecord)}
	for _, opt := range opts {
		opt(ta)
	}
	return ta
}

// SetDown makes every call fail with ErrUnavailable.
func (ta *Table) SetDown(down bool) { ta.down.Store(down) }

// SetSlow adds a delay to each call.
func (ta *Table) SetSlow(delay time.Duration) { ta.delay.Store(int64(delay)) }

// SetLoseAnswers makes each n-th write take effect and then fail with
// ErrUnknownOutcome. Zero disables the fault.
func (ta *Table) SetLoseAnswers(every int) { ta.loseEvery.Store(int64(every)) }

// Counts returns the reads, writes and throttled calls so far.
func (ta *Table) Counts() (reads, writes, throttled uint64) {
	return ta.reads.Load(), ta.writes.Load(), ta.throttled.Load()
}

func (ta *Table) applyFaults(ctx context.Context, limiter *rate.Limiter) error {
	if delay := time.Duration(ta.delay.Load()); delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ta.clk.After(delay):
		}
	}
	if ta.down.Load() {
		return citronstream.ErrUnavailable
	}
	if limiter != nil && !limiter.AllowN(ta.clk.Now(), 1) {
		ta.throttled.Add(1)
		return citronstream.ErrThrottled
	}
	return ctx.Err()
}

// Get implements citronstream.Table.
func (ta *Table) Get(ctx context.Context, key string) (citronstream.Row, error) {
	if err := ta.applyFaults(ctx, ta.readLimit); err != nil {
		return citronstream.Row{}, err
	}
	ta.reads.Add(1)
	ta.mu.Lock()
	defer ta.mu.Unlock()
	row, ok := ta.unexpired(key)
	if !ok {
		return citronstream.Row{}, citronstream.ErrNotFound
	}
	return clone(row), nil
}

// List implements citronstream.Table.
func (ta *Table) List(ctx context.Context, prefix, after string, limit int) ([]citronstream.Row, error) {
	if err := ta.applyFaults(ctx, ta.readLimit); err != nil {
		return nil, err
	}
	ta.reads.Add(1)
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var found []citronstream.Row
	for key := range ta.rows {
		if row, ok := ta.unexpired(key); ok && strings.HasPrefix(key, prefix) && key > after {
			found = append(found, clone(row))
		}
	}
	slices.SortFunc(found, func(a, b citronstream.Row) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))], nil
}

// Write implements citronstream.Table.
func (ta *Table) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if err := ta.applyFaults(ctx, ta.writeLimit); err != nil {
		return err
	}
	err := ta.apply(opID, ops)
	if every := ta.loseEvery.Load(); every > 0 && ta.writes.Load()%uint64(every) == 0 {
		ta.lost.Add(1)
		return citronstream.ErrUnknownOutcome
	}
	return err
}

func (ta *Table) apply(opID string, ops []citronstream.Op) error {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.writes.Add(1)
	now := ta.clk.Now()
	if rec, ok := ta.ops[opID]; ok && opID != "" && now.Sub(rec.at) < opIDTTL && rec.err == nil {
		return nil
	}
	var failed []string
	for _, op := range ops {
		row, _ := ta.unexpired(op.Key)
		if op.IfVersion != citronstream.AnyVersion && row.Version != op.IfVersion {
			failed = append(failed, op.Key)
		}
	}
	if failed != nil {
		return &citronstream.ConflictError{Keys: failed}
	}
	for _, op := range ops {
		ta.put(op)
	}
	if opID != "" {
		ta.ops[opID] = opRecord{at: now}
		ta.dropOldOps(now)
	}
	return nil
}

func (ta *Table) put(op citronstream.Op) {
	if op.CheckOnly {
		return
	}
	if op.Delete {
		delete(ta.rows, op.Key)
		return
	}
	row, _ := ta.unexpired(op.Key)
	next := citronstream.Row{Key: op.Key, Version: row.Version + 1, Value: slices.Clone(op.Value), Expires: op.Expires}
	ta.rows[op.Key] = next
	if ta.audit != nil {
		ta.audit(row, next)
	}
}

// dropOldOps drops old operation identifiers at every 4,096th entry of the map.
func (ta *Table) dropOldOps(now time.Time) {
	if len(ta.ops)%4096 != 0 {
		return
	}
	for id, rec := range ta.ops {
		if now.Sub(rec.at) >= opIDTTL {
			delete(ta.ops, id)
		}
	}
}

func (ta *Table) unexpired(key string) (citronstream.Row, bool) {
	row, ok := ta.rows[key]
	if ok && !row.Expires.IsZero() && !ta.clk.Now().Before(row.Expires) {
		delete(ta.rows, key)
		return citronstream.Row{}, false
	}
	return row, ok
}

func clone(row citronstream.Row) citronstream.Row {
	row.Value = slices.Clone(row.Value)
	return row
}

var _ citronstream.Table = (*Table)(nil)
