package poison

import "container/list"

// deaths is a bounded table of deaths by identifier, least recently used first out.
type deaths struct {
	byID  map[string]*list.Element
	order *list.List // values are *deathEntry, most recently used first
}

type deathEntry struct {
	id string
	de death
}

func newDeaths() *deaths { return &deaths{byID: make(map[string]*list.Element), order: list.New()} }

// get finds or makes the record of a death.
func (dt *deaths) get(id string) *death {
	if el, ok := dt.byID[id]; ok {
		dt.order.MoveToFront(el)
		return &el.Value.(*deathEntry).de
	}
	if dt.order.Len() >= deathCap {
		oldest := dt.order.Remove(dt.order.Back()).(*deathEntry)
		delete(dt.byID, oldest.id)
	}
	entry := &deathEntry{id: id, de: death{counted: make(map[uint64]bool)}}
	dt.byID[id] = dt.order.PushFront(entry)
	return &entry.de
}
