// Package zoneramp moves the requests of an evacuated zone to the others within some time
// instead of at once. Load pattern: all gateways hear of an evacuation within some
// milliseconds, and the load of a whole zone, a third of all and more, moves to the upstreams
// of the others in one moment.
package zoneramp

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// rampPart is the part of the time within which an evacuation must take effect that the
	// whole ramp takes.
	rampPart = 3
	// margin is kept free at the end of that time, for requests that were written but have
	// not arrived, and for gateways whose clocks run slower.
	margin = 500 * time.Millisecond
)

// span is the ramp of a zone.
type span struct {
	from   time.Time
	length time.Duration
}

// Ramp has the zones whose load moves away. Its methods are called concurrently; Share and
// Active take no lock.
type Ramp struct {
	clk   citronstream.Clock
	bound time.Duration

	mu    sync.Mutex
	zones atomic.Pointer[map[string]span]
}

// New returns a ramp without zones. An evacuation must take effect within bound; 0 means that
// there is no time for a ramp.
func New(clk citronstream.Clock, bound time.Duration) *Ramp {
	ra := &Ramp{clk: clk, bound: bound}
	ra.zones.Store(&map[string]span{})
	return ra
}

// Evacuated begins the ramp of a zone whose evacuation this gateway has just heard of, and
// returns how long it takes: 0 if no time is left. The zone was not evacuated at the time
// known. A gateway that was paused or cut off may hear of an evacuation long after the others.
func (ra *Ramp) Evacuated(zone string, known time.Time) time.Duration {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	now := ra.clk.Now()
	length := min(ra.bound/rampPart, ra.bound-margin-now.Sub(known))
	zones := ra.current(now)
	delete(zones, zone)
	if length > 0 {
		zones[zone] = span{from: now, length: length}
	}
	ra.zones.Store(&zones)
	return max(0, length)
}

// TakenBack ends the ramp of a zone.
func (ra *Ramp) TakenBack(zone string) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	zones := ra.current(ra.clk.Now())
	delete(zones, zone)
	ra.zones.Store(&zones)
}

// current returns a copy of the zones without those whose ramps have ended.
func (ra *Ramp) current(now time.Time) map[string]span {
	zones := maps.Clone(*ra.zones.Load())
	maps.DeleteFunc(zones, func(_ string, sp span) bool { return now.Sub(sp.from) >= sp.length })
	return zones
}

// Share returns which share of the requests may still choose upstreams of an evacuated zone.
func (ra *Ramp) Share(zone string) float64 {
	sp, ramps := (*ra.zones.Load())[zone]
	if !ramps {
		return 0
	}
	return max(0, 1-float64(ra.clk.Since(sp.from))/float64(sp.length))
}

// Active reports whether there may be a zone with a share.
func (ra *Ramp) Active() bool { return len(*ra.zones.Load()) > 0 }

// Count returns the number of zones whose load moves.
func (ra *Ramp) Count() int { return len(ra.current(ra.clk.Now())) }

// Sweep forgets the zones whose ramps have ended.
func (ra *Ramp) Sweep() {
	if !ra.Active() {
		return
	}
	ra.mu.Lock()
	defer ra.mu.Unlock()
	zones := ra.current(ra.clk.Now())
	ra.zones.Store(&zones)
}
