package policy

import (
	"container/list"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
)

// fifo is the baseline discipline: order of arrival, a count cap, no refusal by deadline.
type fifo struct {
	max   int
	cost  float64
	order *list.List
	byID  map[string]*list.Element
}

func newFIFO(se discipline.Settings) citronstream.Discipline {
	return &fifo{max: se.Fleet.Limits.MaxQueued, order: list.New(), byID: make(map[string]*list.Element)}
}

func (ff *fifo) Push(it citronstream.Item) ([]citronstream.Item, error) {
	if ff.order.Len() >= ff.max {
		return nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "%d calls queued", ff.max)
	}
	ff.byID[it.ID] = ff.order.PushBack(it)
	ff.cost += it.Cost
	return nil, nil
}

func (ff *fifo) Pop() (citronstream.Item, []citronstream.Item, bool) {
	el := ff.order.Front()
	if el == nil {
		return citronstream.Item{}, nil, false
	}
	it := el.Value.(citronstream.Item)
	ff.Remove(it.ID)
	return it, nil, true
}

func (ff *fifo) Remove(id string) bool {
	el, ok := ff.byID[id]
	if ok {
		ff.cost -= ff.order.Remove(el).(citronstream.Item).Cost
		delete(ff.byID, id)
	}
	return ok
}

func (ff *fifo) Done(citronstream.Item, float64, time.Duration) {}

func (ff *fifo) Len() int { return ff.order.Len() }

func (ff *fifo) Cost() float64 { return ff.cost }

func (ff *fifo) RankCosts() []float64 { return nil }

func (ff *fifo) Wait(int, string, float64) time.Duration { return 0 }
