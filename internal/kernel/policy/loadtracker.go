package policy

import (
	"time"

	"github.com/citronstream/citronstream/internal/route/table"
)

// LoadTracker reports the start and end of calls to the routing table and to the
// outlier detection. Policies embed it.
type LoadTracker struct {
	table    *table.Table
	outliers Outliers
}

// NewLoadTracker returns an Account over the table.
func NewLoadTracker(de Deps) LoadTracker { return LoadTracker{table: de.Table, outliers: de.Outliers} }

// Sent implements citronstream.Picker.
func (lt LoadTracker) Sent(upstream string, rank int, cost float64) {
	lt.table.Sent(upstream, rank, cost)
}

// Ended implements citronstream.Picker.
func (lt LoadTracker) Ended(upstream string, rank int, cost float64, took time.Duration, err error) {
	lt.table.Ended(upstream, rank, cost)
	if lt.outliers != nil {
		lt.outliers.Observe(upstream, cost, took, err)
	}
}
