package connshare

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/route/leastrequest"
	"github.com/stretchr/testify/assert"
)

// The replayed site: upstreams with 6 slots, a queue of 24 and 71 connections, requests of 30
// ms with a target of 150 ms, in waves by zone and in groups of three at one gateway.
const (
	shSlots   = 6
	shQueue   = 24
	shMost    = 71
	shService = 30 * time.Millisecond
	shTarget  = 150 * time.Millisecond
	shSpan    = 20 * time.Second
	shIdle    = 5 * time.Second
	shHop     = time.Millisecond
)

type shPattern struct {
	gateways, upstreams int
	rate                float64
	burst               float64 // factor between 6 s and 9 s, 1 if 0
	zone                bool    // the burst comes from zone 0 only
	one                 bool    // the burst comes at one gateway only
	slow                float64 // times the service time at upstream 0 from 10 s to 14 s
}

type shRule struct {
	name  string
	limit func(pa *shPattern, g, u int) int // connections in use or idle of a gateway at an upstream; 0 for no bound
	idle  func(pa *shPattern, g, u int) int
	queue bool // requests wait at the gateway
	// free lets a gateway use more while the upstream says that it has room.
	free bool
}

type shOutcome struct{ asked, inTime, late, refused, reset, opened int }

func (so shOutcome) String() string {
	return fmt.Sprintf("in time %d of %d (%.4f), late %d, refused %d, reset %d, opened %d", so.inTime, so.asked, float64(so.inTime)/float64(so.asked), so.late, so.refused, so.reset, so.opened)
}

type shEvent struct {
	at time.Duration
	do func()
}

type shEvents []shEvent

func (ev shEvents) Len() int           { return len(ev) }
func (ev shEvents) Less(i, j int) bool { return ev[i].at < ev[j].at }
func (ev shEvents) Swap(i, j int)      { ev[i], ev[j] = ev[j], ev[i] }
func (ev *shEvents) Push(x any)        { *ev = append(*ev, x.(shEvent)) }
func (ev *shEvents) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

type shRequest struct {
	at    time.Duration
	g     int
	tried map[string]bool
	tries int
}

type shUpstream struct {
	open, running int
	waiting       []func()
}

type shSite struct {
	shPattern
	ru     shRule
	now    time.Duration
	events shEvents
	draw   *rand.Rand
	ups    []*shUpstream
	nodes  [][]*node.Node // of each gateway
	busy   [][]int
	idle   [][][]time.Duration // until when
	queues [][]*shRequest
	usual  []float64 // time of a request as each gateway measures it, in ns
	out    shOutcome
}

func (si *shSite) after(d time.Duration, do func()) { heap.Push(&si.events, shEvent{si.now + d, do}) }

func (si *shSite) clock() time.Time { return time.Unix(1000, int64(si.now)) }

func replayShares(pa shPattern, seed uint64, ru shRule) shOutcome {
	si := &shSite{shPattern: pa, ru: ru, draw: rand.New(rand.NewPCG(seed, 5))}
	zones := []string{"a", "b", "c"}
	for range pa.upstreams {
		si.ups = append(si.ups, &shUpstream{})
	}
	for range pa.gateways {
		var nodes []*node.Node
		for u := range pa.upstreams {
			nodes = append(nodes, node.New(citronstream.Member{ID: fmt.Sprint(u), Zone: zones[u%3], Slots: shSlots}))
		}
		si.nodes = append(si.nodes, nodes)
		si.busy = append(si.busy, make([]int, pa.upstreams))
		si.idle = append(si.idle, make([][]time.Duration, pa.upstreams))
		si.queues = append(si.queues, nil)
		si.usual = append(si.usual, float64(shService))
	}
	for z := range 3 {
		for at := time.Duration(0); at < shSpan; {
			rate := pa.rate / 9 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/15+float64(z)/3)))
			hot := at >= 6*time.Second && at < 9*time.Second && pa.burst > 0 && !(pa.zone && z != 0) && !(pa.one && z != 0)
			if hot {
				rate *= pa.burst
			}
			at += time.Duration(si.draw.ExpFloat64() / rate * float64(time.Second))
			g := z + 3*si.draw.IntN((pa.gateways-z+2)/3)
			if hot && pa.one && si.draw.Float64() > 1/pa.burst {
				g = 0
			}
			for range 3 {
				rq := &shRequest{at: at, g: g, tried: make(map[string]bool)}
				heap.Push(&si.events, shEvent{at, func() { si.out.asked++; si.take(rq) }})
			}
		}
	}
	for len(si.events) > 0 {
		ev := heap.Pop(&si.events).(shEvent)
		si.now = ev.at
		ev.do()
	}
	return si.out
}

// mayUse reports whether a gateway may send another request to an upstream.
func (si *shSite) mayUse(g, u int) bool {
	if si.ru.limit == nil {
		return true
	}
	use := Use{Limit: si.ru.limit(&si.shPattern, g, u), Most: shMost, Busy: si.busy[g][u]}
	if !si.ru.free {
		return use.Busy < use.Limit
	}
	use.Load, use.Age, _ = si.nodes[g][u].Load(si.clock())
	return use.Free()
}

// take sends a request, queues it, or refuses it.
func (si *shSite) take(rq *shRequest) {
	var usable []*node.Node
	for u, nd := range si.nodes[rq.g] {
		if si.mayUse(rq.g, u) {
			usable = append(usable, nd)
		}
	}
	if nd := leastrequest.Pick(usable, []string{"a", "b", "c"}[rq.g%3], rq.tried, si.clock()); nd != nil {
		si.send(rq, slices.Index(si.nodes[rq.g], nd))
		return
	}
	if si.ru.queue && len(rq.tried) < si.upstreams && len(usable) < si.upstreams {
		conns := 0
		for u := range si.ups {
			conns += si.busy[rq.g][u]
		}
		took := time.Duration(si.usual[rq.g])
		wait := Wait(len(si.queues[rq.g]), conns, took)
		if si.now+wait+took+2*shHop <= rq.at+shTarget {
			si.queues[rq.g] = append(si.queues[rq.g], rq)
			return
		}
	}
	si.out.refused++
}

func (si *shSite) next(g int) {
	for len(si.queues[g]) > 0 {
		rq := si.queues[g][0]
		if si.now+time.Duration(si.usual[g])+2*shHop > rq.at+shTarget {
			si.queues[g] = si.queues[g][1:]
			si.out.refused++
			continue
		}
		free := false
		for u := range si.ups {
			free = free || si.mayUse(g, u) && !rq.tried[fmt.Sprint(u)]
		}
		if !free {
			return
		}
		si.queues[g] = si.queues[g][1:]
		si.take(rq)
	}
}

func (si *shSite) send(rq *shRequest, u int) {
	g, up, nd := rq.g, si.ups[u], si.nodes[rq.g][u]
	rq.tried[nd.ID] = true
	rq.tries++
	nd.Begin()
	si.busy[g][u]++
	list := si.idle[g][u]
	for len(list) > 0 && list[len(list)-1] < si.now {
		list = list[:len(list)-1]
		up.open--
	}
	delay := shHop
	if len(list) > 0 {
		list = list[:len(list)-1]
	} else {
		delay += time.Millisecond
		si.out.opened++
		if up.open >= shMost {
			si.after(2*shHop, func() {
				nd.End()
				si.busy[g][u]--
				si.out.reset++
				si.next(g)
			})
			si.idle[g][u] = list
			return
		}
		up.open++
	}
	si.idle[g][u] = list
	sent := si.now
	finish := func(refused bool) {
		sl := citronstream.ServerLoad{Slots: shSlots, Running: up.running, Waiting: len(up.waiting)}
		si.after(shHop, func() {
			nd.ObserveLoad(sl, si.clock())
			nd.End()
			si.busy[g][u]--
			if len(si.idle[g][u]) < si.ru.idle(&si.shPattern, g, u) {
				si.idle[g][u] = append(si.idle[g][u], si.now+shIdle)
			} else {
				up.open--
			}
			if !refused {
				si.usual[g] += 0.2 * (float64(si.now-sent) - si.usual[g])
			}
			switch {
			case refused:
				nd.RequestFailed()
				if rq.tries < 2 {
					si.take(rq)
				} else {
					si.out.refused++
				}
			case si.now-rq.at <= shTarget:
				nd.RequestDone(1)
				si.out.inTime++
			default:
				nd.RequestDone(float64(si.now-rq.at) / float64(shService))
				si.out.late++
			}
			si.next(g)
		})
	}
	si.after(delay, func() {
		if up.running >= shSlots && len(up.waiting) >= shQueue {
			finish(true)
			return
		}
		run := func() {
			up.running++
			took := time.Duration((0.5 + si.draw.Float64()) * float64(shService))
			if u == 0 && si.slow > 0 && si.now >= 10*time.Second && si.now < 14*time.Second {
				took = time.Duration(si.slow * float64(took))
			}
			si.after(took, func() {
				up.running--
				finish(false)
				if len(up.waiting) > 0 {
					run := up.waiting[0]
					up.waiting = up.waiting[1:]
					run()
				}
			})
		}
		if up.running < shSlots {
			run()
		} else {
			up.waiting = append(up.waiting, run)
		}
	})
}

func names(count int) (list []string) {
	for i := range count {
		list = append(list, fmt.Sprint("gateway", i))
	}
	return list
}

// Guards against connections that the upstreams reset, or that are opened for each request, as
// gateways do not know what the others use. The figures are in docs/design/connections.md.
func TestReplay(t *testing.T) {
	oldIdle := func(pa *shPattern, _, _ int) int { return max(1, shMost/(2*pa.gateways)) }
	cache := make(map[int][]map[string]int)
	share := func(pa *shPattern, g, u int) int {
		if cache[pa.gateways] == nil {
			all := names(pa.gateways)
			for _, self := range all {
				cache[pa.gateways] = append(cache[pa.gateways], Limits(shMost, names(pa.upstreams), self, all))
			}
		}
		return cache[pa.gateways][g][fmt.Sprint("gateway", u)]
	}
	rules := []shRule{
		{name: "before", idle: oldIdle},
		{name: "now", limit: share, idle: share, queue: true, free: true},
		{name: "share only", limit: share, idle: share, queue: true},
		{name: "no queue", limit: share, idle: share, free: true},
		{name: "idle only", idle: share},
	}
	for name, pa := range map[string]shPattern{
		"calm":               {gateways: 25, upstreams: 3, rate: 175},
		"burst":              {gateways: 25, upstreams: 3, rate: 175, burst: 3},
		"overload":           {gateways: 25, upstreams: 3, rate: 175, burst: 5},
		"surge of a zone":    {gateways: 25, upstreams: 3, rate: 175, burst: 6, zone: true},
		"surge of a gateway": {gateways: 25, upstreams: 3, rate: 175, burst: 5, one: true},
		"slow upstream":      {gateways: 25, upstreams: 3, rate: 350, slow: 8},
		"100, calm":          {gateways: 100, upstreams: 3, rate: 175},
		"100, burst":         {gateways: 100, upstreams: 3, rate: 175, burst: 3},
		"100, overload":      {gateways: 100, upstreams: 3, rate: 175, burst: 5},
	} {
		t.Run(name, func(t *testing.T) {
			outs := make([]shOutcome, len(rules))
			for i, ru := range rules {
				for seed := range uint64(2) {
					outs[i].add(replayShares(pa, seed, ru))
				}
				t.Logf("%-10s %v", ru.name, outs[i])
			}
			before, now := outs[0], outs[1]
			assert.GreaterOrEqual(t, float64(now.inTime), 0.985*float64(before.inTime))
			assert.LessOrEqual(t, now.reset, now.asked/1000)
			assert.Less(t, now.opened, before.opened/2)
		})
	}
}

func (so *shOutcome) add(ot shOutcome) {
	so.asked += ot.asked
	so.inTime += ot.inTime
	so.late += ot.late
	so.refused += ot.refused
	so.reset += ot.reset
	so.opened += ot.opened
}
