package policy

import (
	"time"

	"github.com/citronstream/citronstream/internal/route/table"
)

// LoadTracker is the part of a Picker that follows the work. Policies embed it.
type LoadTracker struct {
	table    *table.Table
	outliers Outliers
}

// NewLoadTracker returns an Account over the table.
func NewLoadTracker(de Deps) LoadTracker { return LoadTracker{table: de.Table, outliers: de.Outliers} }

// Sent implements citronstream.Picker.
func (ac LoadTracker) Sent(upstream string, rank int, cost float64) {
	ac.table.Sent(upstream, rank, cost)
}

// Ended implements citronstream.Picker.
func (ac LoadTracker) Ended(upstream string, rank int, cost float64, took time.Duration, err error) {
	ac.table.Ended(upstream, rank, cost)
	if ac.outliers != nil {
		ac.outliers.Observe(upstream, cost, took, err)
	}
}
