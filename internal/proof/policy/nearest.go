package policy

import (
	"github.com/citronstream/citronstream"
	routes "github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/route/nearest"
	"github.com/citronstream/citronstream/internal/route/table"
)

// routed is a routing policy of the project over its own routing table.
type routed struct {
	citronstream.Picker
	table *table.Table
	seq   map[string]uint64
}

// TakeLoad implements LoadTaker.
func (ro *routed) TakeLoad(lo citronstream.Load) {
	ro.seq[lo.Upstream]++
	lo.Seq = ro.seq[lo.Upstream]
	ro.table.Report(lo)
}

// TakeResultLoad implements ResultTaker.
func (ro *routed) TakeResultLoad(lo citronstream.Load) { ro.TakeLoad(lo) }

// newNearest builds the default routing policy over a table of one service.
func newNearest(se PickerSettings) citronstream.Picker {
	fl := se.Fleet
	fl.Services = []citronstream.Service{{Name: se.Service}}
	fl.Regions = []citronstream.Region{{Name: "region"}}
	zones := make(map[string]bool)
	for _, ta := range se.Targets {
		if !zones[ta.Zone] {
			zones[ta.Zone] = true
			fl.Regions[0].Zones = append(fl.Regions[0].Zones, citronstream.Zone{Name: ta.Zone, Distance: citronstream.Duration(se.Distance)})
		}
		fl.Instances = append(fl.Instances, citronstream.Instance{Name: ta.Name, Zone: ta.Zone})
		fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: ta.Name, Service: se.Service, Instance: ta.Name, Capacity: ta.Capacity})
	}
	tab := table.New(se.Clock)
	tab.Replace(&fl)
	pi := nearest.New(routes.Deps{Table: tab, Clock: se.Clock, Seed: se.Random.Uint64()})
	return &routed{Picker: pi, table: tab, seq: make(map[string]uint64)}
}
