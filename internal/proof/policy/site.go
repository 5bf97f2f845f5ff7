package policy

import (
	"fmt"
	"time"

	"github.com/citronstream/citronstream"
)

// Tier is a service of a site with the speed of its upstreams.
type Tier struct {
	Service   string
	Upstreams int
	// Capacity is the number of calls that one upstream runs side by side.
	Capacity int
	// Unit is the run time of one cost unit in one of these places.
	Unit       time.Duration
	Idempotent bool
}

// rate is the throughput of one upstream in cost units a second.
func (ti Tier) rate() float64 { return float64(ti.Capacity) / ti.Unit.Seconds() }

// Step is a stage of a flow with its mean cost.
type Step struct {
	Service string
	Cost    float64
}

// Flow is the pipeline of one rank.
type Flow struct {
	Steps []Step
	// Share is the rank's share of the requests.
	Share float64
}

// Site is a site's size and its ordinary work.
type Site struct {
	Name     string
	Zones    int
	Distance time.Duration // one way between zones
	Tiers    []Tier
	Ranks    []citronstream.Rank // most urgent first
	Flows    []Flow              // by rank
	// Shares are the workspaces' shares of the requests; those below 0.1 are small.
	Shares []float64
}

func ranks() []citronstream.Rank {
	return []citronstream.Rank{
		{Name: "urgent", Deadline: citronstream.Duration(time.Second), Worth: 10, Floor: 0.3},
		{Name: "standard", Deadline: citronstream.Duration(3 * time.Second), Worth: 3, Floor: 0.2},
		{Name: "bulk", Deadline: citronstream.Duration(20 * time.Second), Worth: 1, Floor: 0.1},
	}
}

// Magnolia has the size of Magnolia Seal Works (docs/design.md section 1.3).
func Magnolia() Site {
	return Site{
		Name: "magnolia", Zones: 3, Distance: 500 * time.Microsecond, Ranks: ranks(),
		Tiers: []Tier{
			{"model", 9, 8, 10 * time.Millisecond, true},
			{"order-desk", 3, 4, 10 * time.Millisecond, false},
			{"warranty", 3, 4, 10 * time.Millisecond, true},
			{"catalog", 5, 4, 10 * time.Millisecond, true},
			{"shipping", 5, 4, 10 * time.Millisecond, true},
		},
		Flows: []Flow{
			{[]Step{{"model", 10}, {"order-desk", 2}}, 0.4},
			{[]Step{{"catalog", 4}, {"model", 40}}, 0.4},
			{[]Step{{"model", 80}, {"warranty", 4}, {"shipping", 4}}, 0.2},
		},
		Shares: []float64{0.4, 0.36, 0.08, 0.08, 0.08},
	}
}

// Nullagine has the size of Nullagine & Coast Forms Co.
func Nullagine() Site {
	return Site{
		Name: "nullagine", Zones: 3, Distance: 1450 * time.Microsecond, Ranks: ranks(),
		Tiers: []Tier{
			{"model", 18, 8, 10 * time.Millisecond, true},
			{"lodgement", 3, 8, 10 * time.Millisecond, false},
			{"stall-desk", 5, 4, 10 * time.Millisecond, true},
			{"fee-till", 5, 4, 10 * time.Millisecond, true},
			{"legacy-ledger", 5, 4, 20 * time.Millisecond, true},
		},
		Flows: []Flow{
			{[]Step{{"fee-till", 2}, {"model", 10}, {"lodgement", 2}}, 0.3},
			{[]Step{{"stall-desk", 4}, {"model", 40}}, 0.4},
			{[]Step{{"model", 60}, {"legacy-ledger", 2}}, 0.3},
		},
		Shares: []float64{0.45, 0.34, 0.07, 0.07, 0.07},
	}
}

func workspaceName(index int) string { return fmt.Sprintf("ws-%d", index) }

// fleet returns the configuration that the plug-ins are built from. Weights
// follow the shares: a workspace of 8% of the requests has weight 8.
func (si Site) fleet() citronstream.Fleet {
	fl := citronstream.Fleet{Site: si.Name, Ranks: si.Ranks, Limits: citronstream.DefaultLimits()}
	for i, share := range si.Shares {
		fl.Workspaces = append(fl.Workspaces, citronstream.Workspace{Name: workspaceName(i), Weight: 100 * share})
	}
	return fl
}

func (si Site) tier(service string) Tier {
	for _, ti := range si.Tiers {
		if ti.Service == service {
			return ti
		}
	}
	panic("site " + si.Name + " has no service " + service)
}

// load returns how much of its busiest service one request a second of the
// given shares by rank takes.
func (si Site) load(share func(rank int) float64) float64 {
	need := make(map[string]float64)
	most := 0.0
	for rank, fl := range si.Flows {
		for _, st := range fl.Steps {
			need[st.Service] += share(rank) * st.Cost
			ti := si.tier(st.Service)
			most = max(most, need[st.Service]/(ti.rate()*float64(ti.Upstreams)))
		}
	}
	return most
}

// steadyLoad is the load of the busiest service in ordinary work.
const steadyLoad = 0.6

// rates returns the ordinary requests a second by rank, and those of one rank
// that take the whole of its busiest service.
func (si Site) rates() (ordinary, capacity []float64) {
	total := steadyLoad / si.load(func(rank int) float64 { return si.Flows[rank].Share })
	for rank, fl := range si.Flows {
		ordinary = append(ordinary, total*fl.Share)
		alone := si.load(func(other int) float64 {
			if other == rank {
				return 1
			}
			return 0
		})
		capacity = append(capacity, 1/alone)
	}
	return ordinary, capacity
}
