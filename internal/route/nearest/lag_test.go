package nearest_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/route/outlier"
	"github.com/citronstream/citronstream/internal/route/prefix"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	tick        = 5 * time.Millisecond
	reportLag   = 400 * time.Millisecond
	deadline    = 300 * time.Millisecond
	serviceTime = 40 * time.Millisecond // of an upstream with 4 slots: 100 calls/s
	serverCount = 24
)

type job struct {
	entry        int
	sent, starts time.Time
}

// server runs four calls concurrently and queues the rest.
type server struct {
	running, waiting []job
	slow             int // factor on the service time
	seq              uint64
	done             int
	recent           float64
}

type simEntry struct {
	ta   *table.Table
	pi   citronstream.Picker
	zone string
}

// simulation is a fleet simulated in steps of one tick. All its entries see the
// same late reports.
type simulation struct {
	clk       *clockwork.FakeClock
	rnd       *rand.Rand
	entries   []simEntry
	servers   [serverCount]server
	inTransit []citronstream.Load // reports in transit, in order of time
	arrivals  []time.Time
	correct   bool
	hints     *prefix.Hints // shared by the entries
	blocks    []uint64      // of every prompt
	names     [serverCount]string
	ids       map[string]int
	// Results of the current run.
	ended, inTime, longest, local int
	picked                        map[string]int
}

func newSimulation(t *testing.T, name string, entries int, correct bool) *simulation {
	sim := &simulation{clk: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), rnd: rand.New(rand.NewPCG(1, 2)), correct: correct, ids: map[string]int{}}
	sim.hints = prefix.New(sim.clk)
	for i := range sim.names {
		sim.names[i] = fmt.Sprintf("u%d", i)
		sim.ids[sim.names[i]] = i
	}
	for i := range entries {
		ta := table.New(sim.clk, table.WithLag(reportLag))
		require.True(t, ta.Replace(fleet(serverCount, 3)))
		pi, err := policy.New(name, policy.Deps{Table: ta, Clock: sim.clk, Seed: uint64(i), Hints: sim.hints, Outliers: outlier.New(sim.clk, ta)})
		require.NoError(t, err)
		sim.entries = append(sim.entries, simEntry{ta, pi, fmt.Sprintf("z%d", i%3)})
	}
	return sim
}

// run resets the results and offers a share of the fleet's capacity for a time.
func (sim *simulation) run(offered float64, span time.Duration) {
	sim.ended, sim.inTime, sim.longest, sim.local, sim.picked = 0, 0, 0, 0, map[string]int{}
	due := 0.0
	for at := time.Duration(0); at < span; at += tick {
		for due += offered * serverCount * 100 * tick.Seconds(); due >= 1; due-- {
			sim.send()
		}
		for i := range sim.servers {
			sim.serveTick(i)
		}
		sim.deliver()
		sim.clk.Advance(tick)
	}
}

func (sim *simulation) send() {
	entry := sim.rnd.IntN(len(sim.entries))
	en := sim.entries[entry]
	name, ok := en.pi.Pick(citronstream.PickRequest{Service: "gen", Zone: en.zone, Cost: 1, Blocks: sim.blocks})
	if !ok {
		sim.ended++
		return
	}
	if sim.correct {
		en.pi.Sent(name, 0, 1)
	}
	sim.picked[name]++
	if en.ta.Snapshot().Node(name).Zone == en.zone {
		sim.local++
	}
	se := &sim.servers[sim.ids[name]]
	se.waiting = append(se.waiting, job{entry: entry, sent: sim.clk.Now()})
	sim.longest = max(sim.longest, len(se.waiting))
}

func (sim *simulation) serveTick(id int) {
	se, now, name := &sim.servers[id], sim.clk.Now(), sim.names[id]
	kept := se.running[:0]
	for _, jb := range se.running {
		if now.Sub(jb.starts) < serviceTime*time.Duration(max(1, se.slow)) {
			kept = append(kept, jb)
			continue
		}
		se.done++
		sim.hints.Note(name, sim.blocks)
		sim.ended++
		if now.Sub(jb.sent) <= deadline {
			sim.inTime++
		}
		cost := 0.0
		if sim.correct {
			cost = 1
		}
		sim.entries[jb.entry].pi.Ended(name, 0, cost, now.Sub(jb.sent), nil)
	}
	se.running = kept
	for len(se.running) < 4 && len(se.waiting) > 0 {
		se.waiting[0].starts = now
		se.running, se.waiting = append(se.running, se.waiting[0]), se.waiting[1:]
	}
	if now.UnixMilli()/200 == now.Add(-tick).UnixMilli()/200 {
		return
	}
	se.recent, se.done, se.seq = float64(se.done)*5, 0, se.seq+1
	sim.inTransit = append(sim.inTransit, citronstream.Load{
		Upstream: name, Seq: se.seq, Running: len(se.running), Waiting: len(se.waiting),
		Cost: float64(len(se.running) + len(se.waiting)), Rate: se.recent, Capacity: 4,
	})
	sim.arrivals = append(sim.arrivals, now.Add(reportLag))
}

func (sim *simulation) deliver() {
	for len(sim.inTransit) > 0 && !sim.clk.Now().Before(sim.arrivals[0]) {
		for _, en := range sim.entries {
			en.ta.Report(sim.inTransit[0])
		}
		sim.inTransit, sim.arrivals = sim.inTransit[1:], sim.arrivals[1:]
	}
}

func (sim *simulation) attainment() float64 { return float64(sim.inTime) / float64(max(1, sim.ended)) }

// share returns an upstream's picks relative to an even share of 1.
func (sim *simulation) share(name string) float64 {
	sum := 0
	for _, count := range sim.picked {
		sum += count
	}
	return float64(sim.picked[name]) * serverCount / float64(sum)
}

// Entries that act on the same late reports must not all choose the same
// upstream. The 3 entries are those of the current sites.
func TestNoHerd(t *testing.T) {
	for _, entries := range []int{3, 30} {
		measure := func(name string, correct bool) *simulation {
			sim := newSimulation(t, name, entries, correct)
			sim.run(0.9, 20*time.Second)
			t.Logf("%d entries, %s, correction %v: attainment %.4f, longest queue %d", entries, name, correct, sim.attainment(), sim.longest)
			return sim
		}
		with, without, least := measure("nearest", true), measure("nearest", false), measure("leastreport", false)
		measure("roundrobin", true)
		assert.GreaterOrEqual(t, with.attainment(), 0.95, "the target for the first token")
		assert.Less(t, with.longest, without.longest)
		assert.Less(t, with.longest, least.longest)
		assert.Greater(t, with.attainment(), least.attainment())
	}
}

// A slow upstream must not delay many requests, nor stay avoided once it has recovered.
func TestSlowUpstream(t *testing.T) {
	sim := newSimulation(t, "nearest", 30, true)
	sim.run(0.5, 5*time.Second)
	sim.servers[0].slow = 10
	sim.run(0.5, 10*time.Second)
	sim.run(0.5, 10*time.Second)
	t.Logf("slow: share %.2f, attainment %.4f", sim.share("u0"), sim.attainment())
	assert.Less(t, sim.share("u0"), 0.5)
	assert.GreaterOrEqual(t, sim.attainment(), 0.95)
	sim.servers[0].slow = 1
	sim.run(0.5, 30*time.Second)
	sim.run(0.5, 10*time.Second)
	t.Logf("recovered: share %.2f, attainment %.4f", sim.share("u0"), sim.attainment())
	assert.Greater(t, sim.share("u0"), 0.5)
}

// Other zones must serve the callers of a lost zone. Once the zone is back, its
// callers must use it again.
func TestLostZone(t *testing.T) {
	sim := newSimulation(t, "nearest", 30, true)
	mark := func(st table.State) {
		for i := 0; i < serverCount; i += 3 {
			for _, en := range sim.entries {
				en.ta.Mark(fmt.Sprintf("u%d", i), table.FromLink, st)
			}
		}
	}
	sim.run(0.5, 10*time.Second)
	before := float64(sim.local) / float64(sim.ended)
	mark(table.Suspect)
	sim.run(0.5, 10*time.Second)
	t.Logf("local share %.2f; zone lost: attainment %.4f, longest queue %d", before, sim.attainment(), sim.longest)
	assert.GreaterOrEqual(t, sim.attainment(), 0.95)
	for i := 0; i < serverCount; i += 3 {
		assert.Zero(t, sim.picked[fmt.Sprintf("u%d", i)])
	}
	mark(table.Live)
	sim.run(0.5, 10*time.Second)
	sim.run(0.5, 10*time.Second)
	t.Logf("zone back: share of u0 %.2f, local share %.2f", sim.share("u0"), float64(sim.local)/float64(sim.ended))
	assert.InDelta(t, 1, sim.share("u0"), 0.5)
	assert.InDelta(t, before, float64(sim.local)/float64(sim.ended), 0.1)
}

// One prefix that all prompts share must not overload the engines that hold it.
func TestPopularPrefix(t *testing.T) {
	for _, entries := range []int{3, 30} {
		sim := newSimulation(t, "nearest", entries, true)
		sim.blocks = prefix.Blocks(make([]byte, 10*prefix.BlockBytes))
		sim.run(0.7, 20*time.Second)
		t.Logf("%d entries: attainment %.4f, longest queue %d, share of u0 %.2f", entries, sim.attainment(), sim.longest, sim.share("u0"))
		assert.GreaterOrEqual(t, sim.attainment(), 0.95)
	}
}
