// Package connshare decides how many connections to an upstream a gateway may use at the same
// time. Load pattern: many gateways before few upstreams that reset connections beyond a limit,
// all gateways together, and refuse requests beyond a short queue.
package connshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
)

// spare is the part of the connections that is not shared out: gateways that start or that
// others don't know use some.
const spare = 0.2

// limit returns how many connections to an upstream the gateway self may use, of most that the
// upstream accepts from all live gateways, self among them. It is 0 where there are more
// gateways than connections and others have them.
func limit(most int, upstream, self string, live []string) int {
	shared := int((1 - spare) * float64(most))
	if len(live) <= 1 {
		return max(1, shared)
	}
	if each := shared / len(live); each >= 1 {
		return each
	}
	own, before := score(upstream, self), 0
	for _, other := range live {
		if other != self && score(upstream, other) > own {
			before++
		}
	}
	if before < max(1, shared) {
		return 1
	}
	return 0
}

// Limits returns how many connections to each of some upstreams the gateway self may use, of
// most that each of them accepts from all live gateways, self among them. With more gateways
// than connections some have none to an upstream, but each has one to some upstream.
func Limits(most int, upstreams []string, self string, live []string) map[string]int {
	limits := make(map[string]int, len(upstreams))
	sum := 0
	for _, upstream := range upstreams {
		limits[upstream] = limit(most, upstream, self, live)
		sum += limits[upstream]
	}
	if sum == 0 && len(upstreams) > 0 {
		limits[slices.MaxFunc(upstreams, func(a, b string) int { return cmp.Compare(score(a, self), score(b, self)) })] = 1
	}
	return limits
}

func score(upstream, gateway string) uint64 { return xxhash.Sum64String(upstream + "\x00" + gateway) }

// freshLoad is how old the load that an upstream has said may be to show that it has room.
const freshLoad = 100 * time.Millisecond

// Use is what a gateway knows of its use of an upstream.
type Use struct {
	Limit int // see Limits
	Most  int // connections that the upstream accepts from all
	Busy  int // requests of this gateway in flight there
	// Load is what the upstream said last, Age how long ago; zero Slots if it is unknown.
	Load citronstream.ServerLoad
	Age  time.Duration
}

// Free reports whether the gateway may send another request. It may exceed its limit, up to a
// quarter of all connections, while the upstream has fewer requests than twice its slots: then
// most connections are not in use, as demand differs between gateways.
func (us *Use) Free() bool {
	if us.Busy < us.Limit {
		return true
	}
	return us.Busy < us.Most/4 && us.Load.Slots > 0 && us.Age < freshLoad &&
		us.Load.Running+us.Load.Waiting+us.Busy-us.Limit < 2*us.Load.Slots
}

// Wait estimates when a request behind some others gets a connection, of busy ones that are
// used for the usual time each.
func Wait(ahead, busy int, usual time.Duration) time.Duration {
	return time.Duration(ahead+1) * usual / time.Duration(max(1, busy))
}
