// Package ledger counts usage and writes it to the platform's table, as the
// basis for splitting the bill between the owners.
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
	// about 450 requests of 6 stages in 30 s; the rest is for outages.
	defaultCap = 4096
	// maxOwners bounds the overflow rows, which keep their owner so that the
	// split stays right at the cap.
	maxOwners = 16
	// deltaRows bounds the rows of one record: at 400 bytes each they stay
	// well below DynamoDB's limit of 400 KB an item.
	deltaRows = 500
)

// cell is one row that is being counted. Once it is sealed it takes no more usage.
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

// Ledger counts usage by Key. Add is called concurrently on the path of a
// request: it finds the row without a lock and locks that row alone.
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

	flushing chan struct{} // holds one token; the fields below belong to its holder
	seq      uint64
	pending  []Delta
	waiting  atomic.Int64
}

// Option changes a Ledger.
type Option func(*Ledger)

// WithInterval sets the time between flushes.
func WithInterval(interval time.Duration) Option {
	return func(le *Ledger) { le.interval = interval }
}

// WithCap bounds the rows that are counted between two flushes.
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
	for !le.find(key).add(counts) {
	}
}

// find returns the row of a key, or the overflow row when the cap is reached.
func (le *Ledger) find(key Key) *cell {
	if found, ok := le.cells.Load(key); ok {
		return found.(*cell)
	}
	if ce := le.insert(key, le.cap); ce != nil {
		return ce
	}
	le.overflow.Add(1)
	rest := Key{Side: key.Side, Owner: key.Owner, Workspace: Other, Service: Other, Stage: Other}
	if ce := le.insert(rest, le.cap+maxOwners); ce != nil {
		return ce
	}
	// At most one row a side is beyond the bound on owners.
	rest = Key{Side: SideEntry, Owner: Other, Workspace: Other, Service: Other, Stage: Other}
	if key.Side == SideAgent {
		rest.Side = SideAgent
	}
	return le.insert(rest, math.MaxInt)
}

func (le *Ledger) insert(key Key, limit int) *cell {
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

// take seals all rows and returns their usage. Usage that arrives meanwhile
// is counted in new rows.
func (le *Ledger) take() []Row {
	var rows []Row
	le.cells.Range(func(key, value any) bool {
		// The row leaves the map before it is sealed, so that Add doesn't find
		// a sealed row twice.
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
func (le *Ledger) Pending() int { return int(le.waiting.Load()) }
