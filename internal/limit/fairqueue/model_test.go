package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// model tracks which items must be waiting and which running.
type model struct {
	qu      *Queue
	clk     *clockwork.FakeClock
	n       int
	waiting map[string]Item
	running []Item
}

func (mo *model) leave(t *rapid.T, items ...Item) {
	for _, it := range items {
		_, ok := mo.waiting[it.ID]
		assert.True(t, ok, "item %s left the queue twice or was never queued", it.ID)
		delete(mo.waiting, it.ID)
	}
}

func (mo *model) push(t *rapid.T) {
	mo.n++
	it := Item{
		ID: fmt.Sprint(mo.n), Rank: rapid.IntRange(-1, 3).Draw(t, "rank"),
		Workspace: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "workspace"),
		Cost:      rapid.Float64Range(-1, 9).Draw(t, "cost"), Suspect: rapid.Bool().Draw(t, "suspect"),
		Deadline: mo.clk.Now().Add(time.Duration(rapid.IntRange(-1, 40).Draw(t, "left")) * time.Second),
	}
	mo.waiting[it.ID] = it
	displaced, err := mo.qu.Push(it)
	if err != nil {
		mo.leave(t, it)
	}
	mo.leave(t, displaced...)
}

func (mo *model) pop(t *rapid.T) {
	it, dropped, ok := mo.qu.Pop()
	mo.leave(t, dropped...)
	suspects := 0
	for _, other := range mo.running {
		if other.Suspect {
			suspects++
		}
	}
	if ok {
		mo.leave(t, it)
		assert.False(t, it.Suspect && suspects > 0, "two suspects run at once")
		mo.running = append(mo.running, it)
		return
	}
	for _, other := range mo.waiting {
		assert.True(t, other.Suspect && suspects > 0, "item %s could run", other.ID)
	}
}

func (mo *model) done(t *rapid.T) {
	if len(mo.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(mo.running)-1).Draw(t, "at")
	it := mo.running[at]
	mo.running = append(mo.running[:at], mo.running[at+1:]...)
	mo.qu.Done(it, rapid.Float64Range(0, 20).Draw(t, "true cost"), time.Second)
}

func (mo *model) check(t *rapid.T) {
	cost, weight := 0.0, map[int]float64{}
	for _, it := range mo.waiting {
		cost += costOf(it.Cost)
	}
	assert.Equal(t, len(mo.waiting), mo.qu.Len())
	assert.InDelta(t, cost, mo.qu.Cost(), 1e-6)
	for _, ra := range mo.qu.ranks {
		for _, fl := range ra.flows {
			if fl.len() > 0 {
				weight[ra.index] += fl.ws.weight
			}
		}
		assert.InDelta(t, weight[ra.index], ra.weight, 1e-6)
		assert.Equal(t, len(ra.flows), len(ra.waiting)+len(ra.idle)+len(ra.parked))
	}
}

// Guards against items that are lost or returned twice, an upstream left idle while
// an item could run, and drift in the sums that the wait estimate uses.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := fleet(0.3, 0.2, 0.1)
		fl.Limits.MaxQueued = 12
		mo := &model{clk: clockwork.NewFakeClockAt(start), waiting: map[string]Item{}}
		mo.qu = New(mo.clk, fl, WithRate(5))
		t.Repeat(map[string]func(*rapid.T){
			"push": mo.push, "push again": mo.push, "pop": mo.pop, "done": mo.done,
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, mo.n).Draw(t, "id"))
				_, waits := mo.waiting[id]
				assert.Equal(t, waits, mo.qu.Remove(id))
				delete(mo.waiting, id)
			},
			"configure": func(t *rapid.T) {
				next := fleet(make([]float64, rapid.IntRange(1, 4).Draw(t, "ranks"))...)
				next.Workspaces[0].Weight = rapid.Float64Range(0.1, 9).Draw(t, "weight")
				next.Limits.MaxQueued = 12
				mo.qu.Configure(next)
			},
			"advance": func(t *rapid.T) { mo.clk.Advance(time.Duration(rapid.IntRange(0, 9).Draw(t, "s")) * time.Second) },
			"":        mo.check,
		})
	})
}
