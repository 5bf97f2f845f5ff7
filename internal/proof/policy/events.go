package policy

import "time"

// event is something that happens at a time. Events of one time happen in the
// order of their planning.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// events is a heap by time.
type events []event

func (es events) Len() int { return len(es) }

func (es events) Less(i, j int) bool {
	if order := es[i].at.Compare(es[j].at); order != 0 {
		return order < 0
	}
	return es[i].seq < es[j].seq
}

func (es events) Swap(i, j int) { es[i], es[j] = es[j], es[i] }

func (es *events) Push(x any) { *es = append(*es, x.(event)) }

func (es *events) Pop() any {
	last := len(*es) - 1
	ev := (*es)[last]
	(*es)[last] = event{}
	*es = (*es)[:last]
	return ev
}
