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
	tick      = 5 * time.Millisecond
	reportLag = 400 * time.Millisecond
	deadline  = 300 * time.Millisecond
	serves    = 40 * time.Millisecond // of an upstream with 4 slots: 100 calls/s
	servers   = 24
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

type front struct {
	ta   *table.Table
	pi   citronstream.Picker
	zone string
}

// simulation is a fleet simulated in steps of one tick. All its entries see the
// same late reports.
type world struct {
	clk     *clockwork.FakeClock
	rnd     *rand.Rand
	fronts  []front
	servers [servers]server
	late    []citronstream.Load // reports in transit, in order of time
	lateAt  []time.Time
	correct bool
	hints   *prefix.Hints // shared by the entries
	blocks  []uint64      // of every prompt
	names   [servers]string
	ids     map[string]int
	// Results of the current run.
	ended, inTime, longest, local int
	picked                        map[string]int
}

func newWorld(t *testing.T, name string, entries int, correct bool) *world {
	wo := &world{clk: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), rnd: rand.New(rand.NewPCG(1, 2)), correct: correct, ids: map[string]int{}}
	wo.hints = prefix.New(wo.clk)
	for i := range wo.names {
		wo.names[i] = fmt.Sprintf("u%d", i)
		wo.ids[wo.names[i]] = i
	}
	for i := range entries {
		ta := table.New(wo.clk, table.WithLag(reportLag))
		require.True(t, ta.Replace(fleet(servers, 3)))
		pi, err := policy.New(name, policy.Deps{Table: ta, Clock: wo.clk, Seed: uint64(i), Hints: wo.hints, Outliers: outlier.New(wo.clk, ta)})
		require.NoError(t, err)
		wo.fronts = append(wo.fronts, front{ta, pi, fmt.Sprintf("z%d", i%3)})
	}
	return wo
}

// run resets the results and offers a share of the fleet's capacity for a time.
func (wo *world) run(offered float64, span time.Duration) {
	wo.ended, wo.inTime, wo.longest, wo.local, wo.picked = 0, 0, 0, 0, map[string]int{}
	due := 0.0
	for at := time.Duration(0); at < span; at += tick {
		for due += offered * servers * 100 * tick.Seconds(); due >= 1; due-- {
			wo.send()
		}
		for i := range wo.servers {
			wo.serve(i)
		}
		wo.deliver()
		wo.clk.Advance(tick)
	}
}

func (wo *world) send() {
	entry := wo.rnd.IntN(len(wo.fronts))
	fr := wo.fronts[entry]
	name, ok := fr.pi.Pick(citronstream.PickRequest{Service: "gen", Zone: fr.zone, Cost: 1, Blocks: wo.blocks})
	if !ok {
		wo.ended++
		return
	}
	if wo.correct {
		fr.pi.Sent(name, 0, 1)
	}
	wo.picked[name]++
	if fr.ta.Snapshot().Node(name).Zone == fr.zone {
		wo.local++
	}
	se := &wo.servers[wo.ids[name]]
	se.waiting = append(se.waiting, job{entry: entry, sent: wo.clk.Now()})
	wo.longest = max(wo.longest, len(se.waiting))
}

func (wo *world) serve(id int) {
	se, now, name := &wo.servers[id], wo.clk.Now(), wo.names[id]
	kept := se.running[:0]
	for _, jo := range se.running {
		if now.Sub(jo.starts) < serves*time.Duration(max(1, se.slow)) {
			kept = append(kept, jo)
			continue
		}
		se.done++
		wo.hints.Note(name, wo.blocks)
		wo.ended++
		if now.Sub(jo.sent) <= deadline {
			wo.inTime++
		}
		cost := 0.0
		if wo.correct {
			cost = 1
		}
		wo.fronts[jo.entry].pi.Ended(name, 0, cost, now.Sub(jo.sent), nil)
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
	wo.late = append(wo.late, citronstream.Load{
		Upstream: name, Seq: se.seq, Running: len(se.running), Waiting: len(se.waiting),
		Cost: float64(len(se.running) + len(se.waiting)), Rate: se.recent, Capacity: 4,
	})
	wo.lateAt = append(wo.lateAt, now.Add(reportLag))
}

func (wo *world) deliver() {
	for len(wo.late) > 0 && !wo.clk.Now().Before(wo.lateAt[0]) {
		for _, fr := range wo.fronts {
			fr.ta.Report(wo.late[0])
		}
		wo.late, wo.lateAt = wo.late[1:], wo.lateAt[1:]
	}
}

func (wo *world) attainment() float64 { return float64(wo.inTime) / float64(max(1, wo.ended)) }

// share returns an upstream's picks relative to an even share of 1.
func (wo *world) share(name string) float64 {
	sum := 0
	for _, count := range wo.picked {
		sum += count
	}
	return float64(wo.picked[name]) * servers / float64(sum)
}

// Entries that act on the same late reports must not all choose the same
// upstream. The 3 entries are those of the current sites.
func TestNoHerd(t *testing.T) {
	for _, entries := range []int{3, 30} {
		measure := func(name string, correct bool) *world {
			wo := newWorld(t, name, entries, correct)
			wo.run(0.9, 20*time.Second)
			t.Logf("%d entries, %s, correction %v: attainment %.4f, longest queue %d", entries, name, correct, wo.attainment(), wo.longest)
			return wo
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
	wo := newWorld(t, "nearest", 30, true)
	wo.run(0.5, 5*time.Second)
	wo.servers[0].slow = 10
	wo.run(0.5, 10*time.Second)
	wo.run(0.5, 10*time.Second)
	t.Logf("slow: share %.2f, attainment %.4f", wo.share("u0"), wo.attainment())
	assert.Less(t, wo.share("u0"), 0.5)
	assert.GreaterOrEqual(t, wo.attainment(), 0.95)
	wo.servers[0].slow = 1
	wo.run(0.5, 30*time.Second)
	wo.run(0.5, 10*time.Second)
	t.Logf("recovered: share %.2f, attainment %.4f", wo.share("u0"), wo.attainment())
	assert.Greater(t, wo.share("u0"), 0.5)
}

// Other zones must serve the callers of a lost zone. Once the zone is back, its
// callers must use it again.
func TestLostZone(t *testing.T) {
	wo := newWorld(t, "nearest", 30, true)
	mark := func(st table.State) {
		for i := 0; i < servers; i += 3 {
			for _, fr := range wo.fronts {
				fr.ta.Mark(fmt.Sprintf("u%d", i), table.FromLink, st)
			}
		}
	}
	wo.run(0.5, 10*time.Second)
	before := float64(wo.local) / float64(wo.ended)
	mark(table.Suspect)
	wo.run(0.5, 10*time.Second)
	t.Logf("local share %.2f; zone lost: attainment %.4f, longest queue %d", before, wo.attainment(), wo.longest)
	assert.GreaterOrEqual(t, wo.attainment(), 0.95)
	for i := 0; i < servers; i += 3 {
		assert.Zero(t, wo.picked[fmt.Sprintf("u%d", i)])
	}
	mark(table.Live)
	wo.run(0.5, 10*time.Second)
	wo.run(0.5, 10*time.Second)
	t.Logf("zone back: share of u0 %.2f, local share %.2f", wo.share("u0"), float64(wo.local)/float64(wo.ended))
	assert.InDelta(t, 1, wo.share("u0"), 0.5)
	assert.InDelta(t, before, float64(wo.local)/float64(wo.ended), 0.1)
}

// One prefix that all prompts share must not overload the engines that hold it.
func TestPopularPrefix(t *testing.T) {
	for _, entries := range []int{3, 30} {
		wo := newWorld(t, "nearest", entries, true)
		wo.blocks = prefix.Blocks(make([]byte, 10*prefix.BlockBytes))
		wo.run(0.7, 20*time.Second)
		t.Logf("%d entries: attainment %.4f, longest queue %d, share of u0 %.2f", entries, wo.attainment(), wo.longest, wo.share("u0"))
		assert.GreaterOrEqual(t, wo.attainment(), 0.95)
	}
}
