package policy

import (
	"fmt"
	"strings"
	"time"
)

// Tally counts requests that arrived in the measured time.
type Tally struct {
	Offered int
	Met     int // complete within the deadline
	Refused int // ended with the verdict NotRun before the deadline
}

// Attainment is the share of requests that met their deadline; 1 if there were none.
func (ta Tally) Attainment() float64 {
	if ta.Offered == 0 {
		return 1
	}
	return float64(ta.Met) / float64(ta.Offered)
}

// Backlog is the estimated cost units that an upstream began during the
// trouble while a rank had work waiting there, and the rank's own part.
type Backlog struct{ Own, All float64 }

// Outcome is the result of a run. Requests of the flood are counted apart, in
// Flood: the other tallies have the same requests with and without it.
type Outcome struct {
	Policy, Site, Scenario string
	Seed                   uint64
	Ranks                  []Tally   // by rank
	Workspaces             []Tally   // by workspace
	Cells                  [][]Tally // by workspace and rank
	Flood                  Tally
	// Cost is the cost units served by service, Wasted those of requests that missed.
	Cost   map[string]float64
	Wasted float64
	// Served is the cost units served during the trouble by service and rank. A
	// call that ran only partly during the trouble counts by that part.
	Served map[string][]float64
	// Backlogs is the service of each rank while it had work waiting, by service and rank.
	Backlogs map[string][]Backlog
	// Attempts counts the calls sent, Retries the extra ones among them.
	Attempts, Retries int
	LongestQueue      int
	Requests          int
}

func (ou *Outcome) count(re *request, with func(*Tally)) {
	if re.flood {
		with(&ou.Flood)
		return
	}
	with(&ou.Ranks[re.rank])
	with(&ou.Workspaces[re.workspace])
	with(&ou.Cells[re.workspace][re.rank])
}

// Share returns a rank's share of the cost that a service served during the trouble.
func (ou *Outcome) Share(service string, rank int) float64 {
	total := 0.0
	for _, cost := range ou.Served[service] {
		total += cost
	}
	if total == 0 {
		return 0
	}
	return ou.Served[service][rank] / total
}

// String is one line for a report: attainment by rank and workspace in percent.
func (ou *Outcome) String() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%-9s %-11s %-13s ranks", ou.Site, ou.Scenario, ou.Policy)
	for _, ta := range ou.Ranks {
		fmt.Fprintf(&sb, " %5.1f", 100*ta.Attainment())
	}
	sb.WriteString(" workspaces")
	for _, ta := range ou.Workspaces {
		fmt.Fprintf(&sb, " %5.1f", 100*ta.Attainment())
	}
	total := 0.0
	for _, cost := range ou.Cost {
		total += cost
	}
	fmt.Fprintf(&sb, " flood %5.1f cost %.0f wasted %.1f%% retries %.1f%% queue %d",
		100*ou.Flood.Attainment(), total, 100*ou.Wasted/max(total, 1), 100*float64(ou.Retries)/float64(max(ou.Requests, 1)), ou.LongestQueue)
	return sb.String()
}

func newOutcome(po Policy, si Site, sc Scenario, seed uint64) *Outcome {
	ou := &Outcome{
		Policy: po.Name, Site: si.Name, Scenario: sc.Name, Seed: seed,
		Ranks: make([]Tally, len(si.Ranks)), Workspaces: make([]Tally, len(si.Shares)),
		Cost: make(map[string]float64), Served: make(map[string][]float64),
		Backlogs: make(map[string][]Backlog),
	}
	for range si.Shares {
		ou.Cells = append(ou.Cells, make([]Tally, len(si.Ranks)))
	}
	for _, ti := range si.Tiers {
		ou.Served[ti.Service] = make([]float64, len(si.Ranks))
		ou.Backlogs[ti.Service] = make([]Backlog, len(si.Ranks))
	}
	return ou
}

// duration turns seconds into a time.Duration.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
