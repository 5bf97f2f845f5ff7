// Package ledger counts usage and writes it to the platform's table, as the
// basis for splitting the cost between the owners.
package ledger

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// defaultCap bounds the rows of one interval. An entry at full size counts
	// about 450 requests of 6 stages in 30 s; the remainder is a reserve for outages.
	defaultCap = 4096
	// maxOwners bounds the overflow rows, which keep their owner so that the
	// split stays correct beyond the cap.
	maxOwners = 16
	// deltaRows bounds the rows of one record: at 400 bytes each they stay
	// well below DynamoDB's limit of 400 KB an item.
	deltaRows = 500
)

// cell counts the usage of one row until it is sealed.
type cell struct {
	mu     sync.Mutex
	sealed bool
	counts Counts
}

// add counts usage. It returns false when the row is sealed.
func (ce *cell) add(counts Counts) bool {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	if !ce.sealed {
		ce.counts.add(counts)
	}
	return !ce.sealed
}

// Ledger counts usage by Key. Add is called concurrently on the request path:
// it finds the row without a lock and locks only that row.
type Ledger struct {
	table    citronstream.Table
	clk      citronstream.Clock
	process  string
	epoch    uint64
	interval time.Duration
	cap      int

	cells    sync.Map // Key to *cell
	rows     atomic.Int64
	overflow atomic.Uint64

	flushing     chan struct{} // semaphore of one; its holder owns the fields below
	seq          uint64
	pending      []Delta
	pendingCount atomic.Int64
}

// Option changes a Ledger.
type Option func(*Ledger)

// WithInterval sets the time between flushes.
func WithInterval(interval time.Duration) Option {
	return func(le *Ledger) { le.interval = interval }
}

// WithCap bounds the number of rows between two flushes.
func WithCap(rows int) Option { return func(le *Ledger) { le.cap = rows } }

// New returns a Ledger for a process. The epoch must grow with each start of
// the process.
func New(table citronstream.Table, clk citronstream.Clock, process string, epoch uint64, opts ...Option) *Ledger {
	le := &Ledger{
		table: table, clk: clk, process: process, epoch: epoch, cap: defaultCap,
		interval: citronstream.DefaultLimits().CostFlush.Std(), flushing: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(le)
	}
	return le
}

// Add counts usage. It never blocks on the table.
func (le *Ledger) Add(key Key, counts Counts) {
	for !le.findCell(key).add(counts) {
	}
}

// findCell returns the cell of a key, or an overflow cell when the cap is reached.
func (le *Ledger) findCell(key Key) *cell {
	if found, ok := le.cells.Load(key); ok {
		return found.(*cell)
	}
	if ce := le.insertCell(key, le.cap); ce != nil {
		return ce
	}
	le.overflow.Add(1)
	overflow := Key{Side: key.Side, Owner: key.Owner, Workspace: Other, Service: Other, Stage: Other}
	if ce := le.insertCell(overflow, le.cap+maxOwners); ce != nil {
		return ce
	}
	// Beyond the bound on owners there is at most one row for each side.
	overflow = Key{Side: SideEntry, Owner: Other, Workspace: Other, Service: Other, Stage: Other}
	if key.Side == SideAgent {
		overflow.Side = SideAgent
	}
	return le.insertCell(overflow, math.MaxInt)
}

func (le *Ledger) insertCell(key Key, limit int) *cell {
	if found, ok := le.cells.Load(key); ok {
		return found.(*cell)
	}
	if le.rows.Add(1) > int64(limit) {
		le.rows.Add(-1)
		return nil
	}
	found, loaded := le.cells.LoadOrStore(key, &cell{})
	if loaded {
		le.rows.Add(-1)
	}
	return found.(*cell)
}

// takeRows seals all cells and returns their rows. Usage that arrives meanwhile
// is counted in new cells.
func (le *Ledger) takeRows() []Row {
	var rows []Row
	le.cells.Range(func(key, value any) bool {
		// Delete the cell before sealing it, so that Add doesn't find a sealed
		// cell twice.
		ce := value.(*cell)
		le.cells.Delete(key)
		le.rows.Add(-1)
		ce.mu.Lock()
		ce.sealed = true
		if ce.counts != (Counts{}) {
			rows = append(rows, Row{Key: key.(Key), Counts: ce.counts})
		}
		ce.mu.Unlock()
		return true
	})
	return rows
}

// Rows returns the number of rows that are being counted.
func (le *Ledger) Rows() int { return int(le.rows.Load()) }

// Overflowed returns the number of times that usage went to a row named Other.
func (le *Ledger) Overflowed() uint64 { return le.overflow.Load() }

// Pending returns the number of records that wait for the table.
func (le *Ledger) Pending() int { return int(le.pendingCount.Load()) }
