// Package roundrobin is a baseline policy that takes the upstreams of a
// service in turn, without regard to zone or load.
package roundrobin

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/route/table"
)

// Name is the name under which the policy is registered.
const Name = "roundrobin"

func init() { policy.Register(Name, func(de policy.Deps) citronstream.Picker { return New(de) }) }

// Picker implements citronstream.Picker.
type Picker struct {
	policy.LoadTracker
	table *table.Table
}

// New returns the policy.
func New(de policy.Deps) *Picker {
	return &Picker{LoadTracker: policy.NewLoadTracker(de), table: de.Table}
}

// Pick implements citronstream.Picker.
func (pi *Picker) Pick(pr citronstream.PickRequest) (string, bool) {
	se := pi.table.Snapshot().Service(pr.Service)
	if se == nil || len(se.Nodes) == 0 {
		return "", false
	}
	for worst := table.Live; worst <= table.Suspect; worst++ {
		next := se.PickCount.Add(1)
		for i := range uint64(len(se.Nodes)) {
			nd := se.Nodes[(next+i)%uint64(len(se.Nodes))]
			if policy.Usable(nd, &pr, worst) {
				se.PickCount.Add(i) // the skipped nodes count as picked
				return nd.Name, true
			}
		}
	}
	return "", false
}
