//go:build review

package stand3

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// BadPart is the prompt part that crashes engines.
const BadPart = "bad00001"

// EngineConfig returns the configuration of Config with a route to the engines.
func EngineConfig(version int) map[string]any {
	co := Config(version, true, map[string]any{
		"name": "r-spec", "host": Host, "prefix": "/spec/", "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1500, "priority": 0,
		"service": "citron-pool", "max-attempts": 1, "session-affinity": true, "resume-streams": false, "gap-target-ms": 600, "allow-anonymous": false,
	})
	for _, se := range co["services"].([]map[string]any) {
		if se["name"] == "citron-pool" {
			se["engine"] = map[string]any{
				"slots": 64, "kv-cache-tokens": 445925, "kv-bytes": 18432, "link-mbps": 740000.0, "moves": true, "backups": true, "stride": 7, "most": 12,
				"pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []map[string]any{{"name": "m"}},
			}
		}
	}
	return co
}

// PartSender sends prompts, with the bad part or without it. All share their caller and their
// first part, no two are alike.
type PartSender struct {
	// Turns is how many further parts all prompts share, as a long session has, between the
	// first part and the one that may be bad.
	Turns int

	wo  *World
	mu  sync.Mutex
	bad map[string]bool // by ID
	n   int
}

// NewPartSender returns a sender.
func NewPartSender(wo *World) *PartSender { return &PartSender{wo: wo, bad: make(map[string]bool)} }

func (ps *PartSender) send(bad bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.n++
	second := fmt.Sprintf("aa%06x", ps.n%6)
	if bad {
		second = BadPart
	}
	id := ps.wo.Client.Go(ps.wo.Gateways[ps.n%len(ps.wo.Gateways)], KeyOne, "POST", "/spec/1a", fmt.Sprintf("prompt %d", ps.n), 12*time.Second,
		"X-Citronstream-Model", "m", "X-Citronstream-Token-Usage", fmt.Sprintf("%d,140", 1812+ps.Turns*turnTokens),
		"X-Citronstream-Prompt-Prefix", fmt.Sprintf("0a0a0a0a:512,%s%s:1000,%08x:300", ps.turns(), second, 1<<20+ps.n))
	if bad {
		ps.bad[id] = true
	}
}

// turnTokens is the length of a turn of a session.
const turnTokens = 60

func (ps *PartSender) turns() string {
	var text strings.Builder
	for i := range ps.Turns {
		_, _ = fmt.Fprintf(&text, "c0de%04x:%d,", i, turnTokens)
	}
	return text.String()
}

// Every sends a request each interval for some time.
func (ps *PartSender) Every(interval, length time.Duration, bad bool) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		ps.send(bad)
	}
}

// Crashes returns when engines have crashed.
func (wo *World) Crashes() (all []time.Time) {
	for _, en := range wo.Engines {
		all = append(all, en.Crashes()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
	return all
}

// Outcome is what became of the requests of a PartSender.
type Outcome struct {
	Crashes  []time.Time
	Arrivals []time.Time // of requests with the part at engines
	// Answers counts the answers by the sort of the request and the status, which is 0 for a
	// stream that was cut.
	Answers map[string]int
}

// Judge records the requests and returns what became of them.
func (ps *PartSender) Judge() Outcome {
	wo := ps.wo
	out := Outcome{Crashes: wo.Crashes(), Answers: make(map[string]int)}
	for i, at := range out.Crashes {
		wo.Record.Line(at, "crash %d of an engine", i+1)
	}
	reached := make(map[string]int)
	for _, ar := range wo.Arrivals.All() {
		reached[ar.ID]++
		if ps.bad[ar.ID] {
			out.Arrivals = append(out.Arrivals, ar.At)
			wo.Record.Line(ar.At, "server: %s begins with %s, which has the part", ar.Server, ar.ID)
		}
	}
	for _, tr := range wo.Client.All() {
		sort := "sound"
		if ps.bad[tr.ID] {
			sort = "bad"
		}
		out.Answers[fmt.Sprintf("%s %d", sort, tr.Status)]++
		wo.Record.Line(tr.Sent, "client: %s %s (%s) to %s, answered %d after %v, arrived at %d servers", tr.ID, tr.Path, sort, tr.Gateway, tr.Status, tr.Took.Round(time.Millisecond), reached[tr.ID])
	}
	return out
}

// Late returns how many requests with the part reached engines later than contact-ms after the
// fifth crash, without those for which excused is true.
func (out *Outcome) Late(excused func(at time.Time) bool) (late int) {
	for _, at := range out.Arrivals {
		if len(out.Crashes) >= 5 && at.After(out.Crashes[4].Add(Contact)) && !excused(at) {
			late++
		}
	}
	return late
}
