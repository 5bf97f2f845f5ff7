// Package leastreport is a baseline policy that takes the upstream with the
// lowest reported load, without correction for work sent since the report.
package leastreport

import (
	"math/rand/v2"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/route/table"
)

// Name is the name under which the policy is registered.
const Name = "leastreport"

func init() { policy.Register(Name, func(de policy.Deps) citronstream.Picker { return New(de) }) }

// Picker implements citronstream.Picker.
type Picker struct {
	policy.LoadTracker
	table *table.Table
	rnd   *rand.Rand
}

// New returns the policy.
func New(de policy.Deps) *Picker {
	return &Picker{LoadTracker: policy.NewLoadTracker(de), table: de.Table, rnd: policy.NewRand(de.Seed)}
}

// Pick implements citronstream.Picker. It breaks ties at random.
func (pi *Picker) Pick(pr citronstream.PickRequest) (string, bool) {
	se := pi.table.Snapshot().Service(pr.Service)
	if se == nil || len(se.Nodes) == 0 {
		return "", false
	}
	count := len(se.Nodes)
	start := pi.rnd.IntN(count)
	for worst := table.Live; worst <= table.Suspect; worst++ {
		var best *table.Node
		var least float64
		for i := range count {
			nd := se.Nodes[(start+i)%count]
			if lo := nd.ReportedLoad(); (best == nil || lo < least) && policy.Usable(nd, &pr, worst) {
				best, least = nd, lo
			}
		}
		if best != nil {
			return best.Name, true
		}
	}
	return "", false
}
