package coldrate

import "slices"

// Waiter is a request that waits for a permit of one of its candidates. The most urgent ones
// of a service, and of these the oldest, have the first turn. A request keeps no others from
// upstreams that are not among its candidates: it has tried them, or may not use them.
type Waiter struct {
	li         *Limiter
	service    string
	rank       int
	candidates []string
}

// Wait adds a request that waits, with its candidates. Rank 0 is the most urgent. The caller
// calls Leave.
func (li *Limiter) Wait(service string, rank int, candidates []string) *Waiter {
	li.mu.Lock()
	defer li.mu.Unlock()
	wa := &Waiter{li: li, service: service, rank: rank, candidates: candidates}
	list := li.waiting[service]
	at, _ := slices.BinarySearchFunc(list, rank, func(other *Waiter, rank int) int {
		if other.rank <= rank {
			return -1
		}
		return 1
	})
	li.waiting[service] = slices.Insert(list, at, wa)
	return wa
}

// SetCandidates replaces the candidates, which change with the upstreams of the service.
func (wa *Waiter) SetCandidates(candidates []string) {
	wa.li.mu.Lock()
	defer wa.li.mu.Unlock()
	wa.candidates = candidates
}

// Turn reports whether it is the request's turn to take a permit: a candidate is free, and no
// request before it waits for one that is.
func (wa *Waiter) Turn() bool {
	wa.li.mu.Lock()
	defer wa.li.mu.Unlock()
	now := wa.li.clk.Now()
	var free []string
	for _, id := range wa.candidates {
		if wa.li.free(id, now) {
			free = append(free, id)
		}
	}
	return len(free) > 0 && wa.ahead(free) == 0
}

// Ahead returns how many requests that wait for one of the same candidates have their turn
// before this one.
func (wa *Waiter) Ahead() int {
	wa.li.mu.Lock()
	defer wa.li.mu.Unlock()
	return wa.ahead(wa.candidates)
}

// ahead returns how many requests before this one wait for one of some upstreams.
func (wa *Waiter) ahead(ids []string) (count int) {
	for _, other := range wa.li.waiting[wa.service] {
		if other == wa {
			break
		}
		if slices.ContainsFunc(ids, func(id string) bool { return slices.Contains(other.candidates, id) }) {
			count++
		}
	}
	return count
}

// Leave ends the wait.
func (wa *Waiter) Leave() {
	wa.li.mu.Lock()
	defer wa.li.mu.Unlock()
	list := slices.DeleteFunc(wa.li.waiting[wa.service], func(other *Waiter) bool { return other == wa })
	if wa.li.waiting[wa.service] = list; len(list) == 0 {
		delete(wa.li.waiting, wa.service)
	}
}

// Waiting reports whether a request of a service waits for an upstream that comes before new
// ones of a rank.
func (li *Limiter) Waiting(service, id string, rank int) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.isWaiting(service, id, rank)
}

func (li *Limiter) isWaiting(service, id string, rank int) bool {
	return slices.ContainsFunc(li.waiting[service], func(wa *Waiter) bool {
		return wa.rank <= rank && slices.Contains(wa.candidates, id)
	})
}

// Usable returns those of some upstreams that may get a request of a rank now: without cold
// ones that may take nothing more from this gateway, or whose next permit is for a request
// that waits. A request whose turn it is does not give way. All are looked at under one lock,
// as each request chooses among all upstreams of its service.
func Usable[U any](li *Limiter, upstreams []U, id func(U) string, service string, rank int, turn bool) []U {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	closed := func(up U) bool {
		cold, rate := li.limited(id(up), now)
		return cold != nil && (li.left(id(up), cold, rate, now) <= 0 || !turn && li.isWaiting(service, id(up), rank))
	}
	first := slices.IndexFunc(upstreams, closed)
	if first < 0 {
		return upstreams
	}
	usable := append(make([]U, 0, len(upstreams)), upstreams[:first]...)
	for _, up := range upstreams[first+1:] {
		if !closed(up) {
			usable = append(usable, up)
		}
	}
	return usable
}
