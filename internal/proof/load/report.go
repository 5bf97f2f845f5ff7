package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/standin/record"
)

// Report is the result of a load. Sent is the sum of Completed,
// RefusedNotRun, MayHaveRun, Failed and Lost.
type Report struct {
	Sent          int `json:"Sent"`
	Completed     int `json:"Completed"`
	RefusedNotRun int `json:"RefusedNotRun"`
	MayHaveRun    int `json:"MayHaveRun"`
	Failed        int `json:"Failed"`
	Lost          int `json:"Lost"`

	Doubled     int `json:"Doubled"`
	Crossed     int `json:"Crossed"`
	FalseNotRun int `json:"FalseNotRun"`
	Rows        int `json:"Rows"`       // writes of the table that break its rules
	Commands    int `json:"Commands"`   // engines that were sent a command with an older token
	Invariants  int `json:"Invariants"` // violated conditions inside the program

	Flood                    int                `json:"Flood"`        // requests of a flood, part of Sent, not of the attainments
	FloodSkipped             int                `json:"FloodSkipped"` // not sent, as too many were in flight
	AttainmentByRank         map[string]float64 `json:"AttainmentByRank"`
	AttainmentByWorkspace    map[string]float64 `json:"AttainmentByWorkspace"`
	AttainmentByRankAndSpace map[string]float64 `json:"AttainmentByRankAndWorkspace"`
	FloodAttainment          float64            `json:"FloodAttainment,omitempty"`

	CostByStage map[string]float64 `json:"CostByStage"`
	CostByOwner map[string]float64 `json:"CostByOwner"`
	// CostGap is the agents' count less the entries' count, in cost units.
	CostGap float64 `json:"CostGap"`

	AddedLatencyP50Micros int64 `json:"AddedLatencyP50Micros"`
	AddedLatencyP99Micros int64 `json:"AddedLatencyP99Micros"`

	// Slowest is the request to which the system added most.
	Slowest string `json:"Slowest,omitempty"`

	Faults []string `json:"Faults,omitempty"` // what was brought about

	Codes map[string]int `json:"Codes,omitempty"` // refusals and failures by code
	// Examples has the identifier of one request by code, for the timeline.
	Examples map[string]string `json:"Examples,omitempty"`

	Violations []Violation `json:"Violations,omitempty"`
}

// Broken counts the broken promises.
func (re *Report) Broken() int {
	return re.Lost + re.Doubled + re.Crossed + re.FalseNotRun + re.Invariants + re.Rows + re.Commands
}

// Costs sets the costs as the agents have counted them.
func (re *Report) Costs(of ledger.Report) {
	re.CostByStage, re.CostByOwner = map[string]float64{}, map[string]float64{}
	for _, li := range of.ByStage {
		re.CostByStage[li.Name] = li.Agent.Cost.Float()
	}
	for _, li := range of.ByOwner {
		re.CostByOwner[li.Name] = li.Agent.Cost.Float()
	}
	re.CostGap = of.Total.Agent.Cost.Float() - of.Total.Entry.Cost.Float()
}

// maxViolations bounds the listed violations; the counts are complete.
const maxViolations = 20

type share struct{ met, all int }

func (sh *share) add(met bool) {
	sh.all++
	if met {
		sh.met++
	}
}

func (sh *share) value() float64 { return float64(sh.met) / float64(max(sh.all, 1)) }

type shareMap map[string]*share

func (sm shareMap) add(name string, met bool) {
	if sm[name] == nil {
		sm[name] = &share{}
	}
	sm[name].add(met)
}

func (sm shareMap) values() map[string]float64 {
	values := make(map[string]float64, len(sm))
	for name, sh := range sm {
		values[name] = sh.value()
	}
	return values
}

// Report verifies all requests that have ended and sums them up.
func (lo *Load) Report() Report {
	lo.mu.Lock()
	trials := lo.trials
	lo.mu.Unlock()
	re := Report{Codes: map[string]int{}, Examples: map[string]string{}}
	ranks, spaces, both := shareMap{}, shareMap{}, shareMap{}
	var flooded share
	var slowest time.Duration
	added := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, tr := range trials {
		for i := range tr.answers {
			re.count(&tr.answers[i])
		}
		re.violations(lo.verify(tr))
		met := tr.met(lo.ca.Deadline(tr.rank))
		if tr.flood {
			re.Flood += len(tr.answers)
			flooded.add(met)
			continue
		}
		if tr.stubborn {
			continue // poison requests are not meant to succeed
		}
		rank := lo.ca.Fleet.Ranks[tr.rank].Name
		ranks.add(rank, met)
		spaces.add(tr.ws.Name, met)
		both.add(rank+"/"+tr.ws.Name, met)
		if id, took := lo.added(tr, added); took > slowest {
			slowest, re.Slowest = took, id
		}
	}
	re.AttainmentByRank, re.AttainmentByWorkspace, re.AttainmentByRankAndSpace = ranks.values(), spaces.values(), both.values()
	re.FloodSkipped = int(lo.skipped.Load())
	re.FloodAttainment = flooded.value()
	re.AddedLatencyP50Micros, re.AddedLatencyP99Micros = added.ValueAtQuantile(50), added.ValueAtQuantile(99)
	return re
}

// met says whether the caller had a whole answer within the deadline, counted
// from the first time that it sent the request.
func (tr *trial) met(deadline time.Duration) bool {
	for i := range tr.answers {
		an := &tr.answers[i]
		if an.outcome == completed && an.ended.Sub(tr.began) <= deadline {
			return true
		}
	}
	return false
}

func (re *Report) count(an *answer) {
	re.Sent++
	switch an.outcome {
	case completed:
		re.Completed++
	case notRun:
		re.RefusedNotRun++
	case mayHaveRun:
		re.MayHaveRun++
	case failed:
		re.Failed++
	case unreachable:
		re.Sent--
		re.Codes["unreachable"]++
	default:
		re.Lost++
	}
	if an.code != "" {
		re.Codes[string(an.code)]++
		re.Examples[string(an.code)] = an.requestID
	}
}

func (re *Report) violations(found []Violation) {
	for _, vi := range found {
		switch vi.Kind {
		case "Doubled":
			re.Doubled++
		case "Crossed":
			re.Crossed++
		case "FalseNotRun":
			re.FalseNotRun++
		}
		if len(re.Violations) < maxViolations {
			re.Violations = append(re.Violations, vi)
		}
	}
}

// added records what the system added to a request that took one sending
// and one execution a stage: its time less that of the upstreams.
func (lo *Load) added(tr *trial, hist *hdrhistogram.Histogram) (string, time.Duration) {
	if len(tr.answers) != 1 || tr.answers[0].outcome != completed {
		return "", 0
	}
	an := &tr.answers[0]
	all := lo.log.ByRequest(an.requestID)
	busy := time.Duration(0)
	for i := range all {
		if all[i].Outcome != record.Done {
			return "", 0
		}
		busy += all[i].EndedAt.Sub(all[i].StartedAt)
	}
	if len(all) == 0 {
		return "", 0
	}
	took := an.ended.Sub(an.sent) - busy
	_ = hist.RecordValue(max(1, took.Microseconds())) // the range covers a minute
	return an.requestID, took
}
