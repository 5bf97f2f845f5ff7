package coldrate

import "slices"

// Waiter is a request that waits for a permit. The most urgent ones of a service, and of
// these the oldest, have the first turn.
type Waiter struct {
	li      *Limiter
	service string
	rank    int
}

// Wait adds a request that waits. Rank 0 is the most urgent. The caller calls Leave.
func (li *Limiter) Wait(service string, rank int) *Waiter {
	li.mu.Lock()
	defer li.mu.Unlock()
	wa := &Waiter{li: li, service: service, rank: rank}
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

// Turn reports whether it is the request's turn to take a permit.
func (wa *Waiter) Turn() bool {
	wa.li.mu.Lock()
	defer wa.li.mu.Unlock()
	return wa.li.waiting[wa.service][0] == wa
}

// Ahead returns how many requests have their turn before this one.
func (wa *Waiter) Ahead() int {
	wa.li.mu.Lock()
	defer wa.li.mu.Unlock()
	return slices.Index(wa.li.waiting[wa.service], wa)
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

// Waiting reports whether a request of a service waits that comes before new ones of a
// rank.
func (li *Limiter) Waiting(service string, rank int) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	list := li.waiting[service]
	return len(list) > 0 && list[0].rank <= rank
}
