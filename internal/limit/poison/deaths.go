package poison

import "container/list"

// deathTable is a bounded table of deaths by ID that evicts the least recently used.
type deathTable struct {
	byID  map[string]*list.Element
	order *list.List // values are *deathEntry, most recently used first
}

type deathEntry struct {
	id string
	de death
}

func newDeaths() *deathTable {
	return &deathTable{byID: make(map[string]*list.Element), order: list.New()}
}

// get returns the record of a death and creates it if necessary.
func (dt *deathTable) get(id string) *death {
	if el, ok := dt.byID[id]; ok {
		dt.order.MoveToFront(el)
		return &el.Value.(*deathEntry).de
	}
	if dt.order.Len() >= deathCap {
		oldest := dt.order.Remove(dt.order.Back()).(*deathEntry)
		delete(dt.byID, oldest.id)
	}
	entry := &deathEntry{id: id, de: death{seen: make(map[uint64]bool)}}
	dt.byID[id] = dt.order.PushFront(entry)
	return &entry.de
}
