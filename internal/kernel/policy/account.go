package policy

import (
	"time"

	"github.com/citronstream/citronstream/internal/route/table"
)

// Account is the part of a Picker that follows the work. Policies embed it.
type Account struct {
	table    *table.Table
	outliers Outliers
}

// NewAccount returns an Account over the table.
func NewAccount(de Deps) Account { return Account{table: de.Table, outliers: de.Outliers} }

// Sent implements citronstream.Picker.
func (ac Account) Sent(upstream string, rank int, cost float64) { ac.table.Sent(upstream, rank, cost) }

// Ended implements citronstream.Picker.
func (ac Account) Ended(upstream string, rank int, cost float64, took time.Duration, err error) {
	ac.table.Ended(upstream, rank, cost)
	if ac.outliers != nil {
		ac.outliers.Observe(upstream, cost, took, err)
	}
}
