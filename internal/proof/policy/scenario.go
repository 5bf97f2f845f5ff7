package policy

import "time"

// Scenario is a kind of trouble that lasts from From to Until of the measured time.
type Scenario struct {
	Name        string
	From, Until time.Duration
	// Surge multiplies all arrivals; 0 means 1.
	Surge float64
	// FloodRank gets FloodBy x the capacity of its busiest service from workspace 0; FloodBy 0 is none.
	FloodRank int
	FloodBy   float64
	// SlowService takes SlowBy x as long.
	SlowService string
	SlowBy      float64
	// LostZone says that zone 0 goes silent.
	LostZone bool
}

// Times of a run.
const (
	warmUp   = 2 * time.Second  // not measured
	measured = 12 * time.Second // arrivals that count
	from     = 2 * time.Second
	until    = 10 * time.Second
)

// Scenarios are the kinds of trouble of docs/design.md section 1.2. The slow
// stage is the one that all ranks share.
func Scenarios() []Scenario {
	return []Scenario{
		Steady(),
		{Name: "burst", From: from, Until: from + 2*time.Second, Surge: 3},
		FloodLeast(),
		FloodMost(),
		{Name: "slow-stage", From: from, Until: until, SlowService: "model", SlowBy: 3},
		{Name: "lost-zone", From: from, Until: until, LostZone: true},
	}
}

// Steady is ordinary work.
func Steady() Scenario { return Scenario{Name: "steady"} }

// FloodLeast adds work of the least urgent rank at 5 x capacity.
func FloodLeast() Scenario {
	return Scenario{Name: "flood-least", From: from, Until: until, FloodRank: 2, FloodBy: 5}
}

// FloodMost adds work of the most urgent rank at 5 x capacity, by one workspace.
func FloodMost() Scenario {
	return Scenario{Name: "flood-most", From: from, Until: until, FloodRank: 0, FloodBy: 5}
}

func (sc Scenario) on(since time.Duration) bool { return since >= sc.From && since < sc.Until }

// overlap returns how much of the time between two points lies in the trouble, 0 to 1.
func (sc Scenario) overlap(began, ended time.Duration) float64 {
	inside := min(ended, sc.Until) - max(began, sc.From)
	if ended <= began || inside <= 0 {
		return 0
	}
	return inside.Seconds() / (ended - began).Seconds()
}
