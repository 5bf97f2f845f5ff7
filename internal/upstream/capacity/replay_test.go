package capacity_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Load pattern: many entries before engines of which one in four has 0.55 of the nominal
// speed and the others 1.2, each slowed 2.5 times for 0.6 s during a sixth of the time.
const (
	entries  = 25
	machines = 46
	span     = 20 * time.Second
	slack    = 500 * time.Millisecond
	tell     = 200 * time.Millisecond // between two messages of an entry
	readRate = 40.0                   // tokens per ms at the nominal speed
	step     = 30 * time.Millisecond  // between two events at the nominal speed
	events   = 40
	choices  = 4 // random engines among which the best one is taken
)

// machine is an engine that reads one prompt after the other.
type machine struct {
	speed float64
	slow  []bool // in each 100 ms
	free  time.Duration
}

func newMachines(draw *rand.Rand) (list []*machine) {
	for i := range machines {
		ma := &machine{speed: 1.2}
		if i%4 == 0 {
			ma.speed = 0.55
		}
		for at := 0; at < 1000; {
			at += int(draw.ExpFloat64() * 30)
			for len(ma.slow) < at {
				ma.slow = append(ma.slow, false)
			}
			ma.slow = append(ma.slow, true, true, true, true, true, true)
			at += 6
		}
		list = append(list, ma)
	}
	return list
}

// end returns when work that takes some time at the nominal speed ends.
func (ma *machine) end(from, work time.Duration) time.Duration {
	const grain = 5 * time.Millisecond
	for left := work; left > 0; from += grain {
		speed := ma.speed
		if ma.slow[min(len(ma.slow)-1, int(from/(100*time.Millisecond)))] {
			speed /= 2.5
		}
		left -= time.Duration(float64(grain) * speed)
	}
	return from
}

type arrival struct {
	at     time.Duration
	entry  int
	tokens int
}

func arrivals(draw *rand.Rand, rate float64) (list []arrival) {
	for at := time.Duration(0); at < span; at += time.Duration(draw.ExpFloat64() / rate * float64(time.Second)) {
		list = append(list, arrival{at, draw.IntN(entries), 1500 + int(5000*min(4, draw.ExpFloat64()))})
	}
	return list
}

func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

// offline returns what is in time if each request goes to the engine that has read it
// first, with all speeds and all loads known.
func offline(list []arrival, all []*machine) (inTime int) {
	for _, ar := range list {
		best, least := all[0], time.Duration(1<<62)
		for _, ma := range all {
			if end := ma.end(max(ar.at, ma.free), reading(ar.tokens)); end < least {
				best, least = ma, end
			}
		}
		if best.free = least; least-ar.at <= slack {
			inTime++
		}
	}
	return inTime
}

// Rules.
const (
	old    = iota // no speed is measured
	alone         // each entry measures for itself
	shared        // the entries tell each other
	known         // the long-term speeds are known in advance
)

// play returns what is in time when each entry chooses by itself.
func play(list []arrival, all []*machine, rule int) (inTime int) {
	type todo struct {
		at time.Duration
		do func()
	}
	draw := rand.New(rand.NewPCG(2, 0))
	clk, now := clockwork.NewFakeClock(), time.Duration(0)
	var due []todo
	later := func(at time.Duration, do func()) {
		i, _ := slices.BinarySearchFunc(due, at, func(to todo, at time.Duration) int { return cmp.Compare(to.at, at) })
		due = slices.Insert(due, i, todo{at, do})
	}
	index := make(map[string]int)
	nodes, pickers := make([][]*node.Node, entries), make([]*engines.Picker, entries)
	usual, streams := make([]float64, entries), make([]float64, entries)
	for entry := range entries {
		pickers[entry] = engines.New(clk)
		for i := range machines {
			id := fmt.Sprint("e", i)
			index[id] = i
			nd := node.New(citronstream.Member{ID: id, Slots: 64}, node.WithClock(clk))
			for peer := 0; rule == known && peer < entries; peer++ {
				nd.ObserveReport(fmt.Sprint("known", peer), citronstream.SpeedReport{Time: 1 / all[i].speed, Samples: 40}, clk.Now())
			}
			nodes[entry] = append(nodes[entry], nd)
		}
		var message func()
		message = func() {
			load, _ := pickers[entry].ChangedLoad()
			for other := range entries {
				if other == entry {
					continue
				}
				pickers[other].UpdateLoad(fmt.Sprint(entry), load)
				for i, nd := range nodes[entry] {
					if report, measured := nd.TakeReport(); measured && rule == shared {
						for peer := range entries {
							if peer != entry {
								nodes[peer][i].ObserveReport(fmt.Sprint(entry), report, clk.Now())
							}
						}
					}
				}
			}
			later(now+tell, message)
		}
		later(tell*time.Duration(entry)/entries, message)
	}
	for _, ar := range list {
		later(ar.at, func() {
			rq := engines.Request{Tokens: ar.tokens, Slack: slack}
			// Among all engines the entries would choose the same one at the same time, which
			// is not what this replay is about.
			var some []*node.Node
			for range choices {
				some = append(some, nodes[ar.entry][draw.IntN(machines)])
			}
			nd := pickers[ar.entry].Pick(some, &rq)
			ma := all[index[nd.ID]]
			ma.free = ma.end(max(now, ma.free), reading(ar.tokens))
			if ma.free-ar.at <= slack {
				inTime++
			}
			later(ma.free, func() {
				began := now
				pickers[ar.entry].FirstEvent(nd, rq)
				later(ma.end(now, events*step), func() {
					pickers[ar.entry].End(nd, rq, true)
					took := (now - began).Seconds()
					if streams[ar.entry]++; streams[ar.entry] > 5 && (rule == alone || rule == shared) {
						nd.ObserveTime(took/usual[ar.entry], clk.Now())
					}
					usual[ar.entry] += max(0.05, 1/streams[ar.entry]) * (took - usual[ar.entry])
				})
			})
		})
	}
	for len(due) > 0 && due[0].at < span+2*time.Second {
		next := due[0]
		due = due[1:]
		clk.Advance(next.at - now)
		now = next.at
		next.do()
	}
	return inTime
}

// Guards against a site whose entries send the slow engines as much as the fast ones, as
// each of them has too few responses of an engine to tell its speed. The distance to the
// offline schedule is not that of the speeds: the entries see each other's loads late,
// and each choice is among a few engines.
func TestReplayOfUnevenEngines(t *testing.T) {
	for _, rate := range []float64{130, 175, 220} {
		draw := rand.New(rand.NewPCG(1, 0))
		list, all := arrivals(draw, rate), newMachines(draw)
		var inTime [4]int
		reset := func() {
			for _, ma := range all {
				ma.free = 0
			}
		}
		for rule := range inTime {
			inTime[rule] = play(list, all, rule)
			reset()
		}
		best := offline(list, all)
		t.Logf("%v a second: %d requests, in time: old rule %d, entries by themselves %d, entries together %d, speeds known %d, offline schedule %d", rate, len(list), inTime[old], inTime[alone], inTime[shared], inTime[known], best)
		assert.Greater(t, inTime[shared], inTime[old])
		assert.GreaterOrEqual(t, float64(inTime[shared]), 0.98*float64(inTime[known]))
		if rate < 200 {
			assert.GreaterOrEqual(t, float64(inTime[shared]), 0.85*float64(best))
		}
	}
}
