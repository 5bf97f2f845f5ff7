package agents

// Sizes are the sizes of a pool's tables.
type Sizes struct {
	Agents  int // agents that the entry connects to
	Links   int // open links
	Flights int // attempts in flight
}

// Sizes returns the current sizes. It iterates over the attempts in flight.
func (po *Pool) Sizes() Sizes {
	si := Sizes{Agents: len(*po.byName.Load())}
	si.Links = si.Agents - po.Missing()
	po.flights.Range(func(any, any) bool {
		si.Flights++
		return true
	})
	return si
}
