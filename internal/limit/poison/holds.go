// Package poison finds request content that kills upstreams and holds it, as
// docs/design.md section 10 states.
package poison

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// Defaults and bounds.
const (
	defaultCap = 4096
	// deathCap bounds the remembered deaths. A rack has some tens of upstreams.
	deathCap = 1024
	// reportCap bounds the digests of one death; an upstream runs far fewer calls side by side.
	reportCap = 1024
)

// Report says that an upstream died. It crosses processes as JSON.
type Report struct {
	// ID names the death, not the message: reporters of one death use the
	// same ID (see DeathID), or else one death would count as two.
	ID       string    `json:"ID"`
	Upstream string    `json:"Upstream"`
	At       time.Time `json:"At"`
	// Running are the digests that ran there.
	Running []uint64 `json:"Running"`
	// Held are the digests that the reporter held because of this death.
	Held []uint64 `json:"Held,omitempty"`
	// Lifted are digests whose holds up to At an operator lifted.
	Lifted []uint64 `json:"Lifted,omitempty"`
}

// DeathID names the death of an upstream. Epoch is that of its agent's grant;
// nth counts the deaths that this agent has seen, from 1. It is 0 for the
// death that takes the agent along, which every entry can report.
func DeathID(upstream string, epoch, nth uint64) string {
	return upstream + "/" + strconv.FormatUint(epoch, 10) + "/" + strconv.FormatUint(nth, 10)
}

// death is what is known about one death.
type death struct {
	counted  map[uint64]bool // digests taken from reports so far
	suspects []uint64        // those that were suspects before this death
}

// Holds has the suspects and the held digests. The check of a request costs
// one atomic load while there are none.
type Holds struct {
	clk     citronstream.Clock
	cap     int
	holdFor atomic.Int64
	size    atomic.Int64

	mu     sync.Mutex
	marks  *marks
	deaths *deaths
}

// Option changes Holds.
type Option func(*Holds)

// WithCap bounds the remembered digests. Default 4,096.
func WithCap(digests int) Option { return func(ho *Holds) { ho.cap = max(digests, 1) } }

// New returns Holds without suspects. Digests are held for HoldFor of the limits.
func New(clk citronstream.Clock, li citronstream.Limits, opts ...Option) *Holds {
	ho := &Holds{clk: clk, cap: defaultCap, deaths: newDeaths()}
	for _, opt := range opts {
		opt(ho)
	}
	ho.marks = newMarks(ho.cap)
	ho.Configure(li)
	return ho
}

// Configure replaces the duration of later holds.
func (ho *Holds) Configure(li citronstream.Limits) { ho.holdFor.Store(int64(li.HoldFor.Std())) }

// Died records the death of an upstream under a new identifier and returns
// the digests that are held because of it. Where several processes can see
// the death, use Merge with a DeathID.
func (ho *Holds) Died(upstream string, running []uint64) []uint64 {
	return ho.Merge(Report{ID: citronstream.NewID(), Upstream: upstream, At: ho.clk.Now(), Running: running})
}

// Merge takes a report of this or another process and returns the digests
// that are newly held. A repeated report changes nothing. A report older than
// HoldFor is ignored.
func (ho *Holds) Merge(re Report) []uint64 {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	holdFor := time.Duration(ho.holdFor.Load())
	at := re.At
	if at.After(now) {
		at = now // a reporter whose clock is ahead must not lengthen the hold
	}
	if now.Sub(at) > holdFor {
		return nil
	}
	for _, digest := range re.Lifted[:min(len(re.Lifted), reportCap)] {
		ho.marks.lift(digest, at)
	}
	if len(re.Lifted) > 0 {
		return nil // a lift is not a death
	}
	de := ho.deaths.get(re.ID)
	for _, digest := range re.Running[:min(len(re.Running), reportCap)] {
		if de.counted[digest] || len(de.counted) >= reportCap {
			continue
		}
		de.counted[digest] = true
		if ho.marks.suspect(digest) {
			de.suspects = append(de.suspects, digest)
		}
		ho.marks.mark(digest)
	}
	held := make([]uint64, 0, 1)
	// With two suspects side by side either can be the cause, so neither is held.
	if len(de.suspects) == 1 {
		held = append(held, de.suspects[0])
	}
	for _, digest := range re.Held[:min(len(re.Held), reportCap)] {
		if !slices.Contains(held, digest) {
			held = append(held, digest)
		}
	}
	held = slices.DeleteFunc(held, func(digest uint64) bool {
		return !ho.marks.hold(Hold{Digest: digest, At: at, Until: at.Add(holdFor), Upstream: re.Upstream}, now)
	})
	ho.size.Store(int64(ho.marks.len()))
	return held
}

// Finished clears a suspect that ran to its end. A held digest stays held:
// only its expiry or an operator ends that.
func (ho *Holds) Finished(digest uint64) {
	if ho.size.Load() == 0 {
		return
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.marks.clear(digest, ho.clk.Now())
	ho.size.Store(int64(ho.marks.len()))
}

// Suspect says whether the content may run only alone among suspects. A digest
// whose hold has ended is a suspect again.
func (ho *Holds) Suspect(digest uint64) bool {
	if ho.size.Load() == 0 {
		return false
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.marks.suspect(digest)
}

// Held says whether the content is refused, and until when.
func (ho *Holds) Held(digest uint64) (time.Time, bool) {
	if ho.size.Load() == 0 {
		return time.Time{}, false
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.marks.held(digest, ho.clk.Now())
}

// Surplus returns the suspects among the running digests but for the first.
// Calls that started together can become suspects together when a report
// comes in; an agent withdraws the surplus ones that are idempotent, so that the
// next death names its cause.
func (ho *Holds) Surplus(running []uint64) []uint64 {
	if ho.size.Load() == 0 {
		return nil
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	var suspects []uint64
	for _, digest := range running {
		if ho.marks.suspect(digest) && !slices.Contains(suspects, digest) {
			suspects = append(suspects, digest)
		}
	}
	if len(suspects) < 2 {
		return nil
	}
	return suspects[1:]
}

// Lift ends a hold by an operator's word, here and wherever the export of
// this process is imported. The content stays a suspect. False means that
// the digest is not held.
func (ho *Holds) Lift(digest uint64) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	mk := ho.marks.get(digest)
	held := mk != nil && mk.hold.inForce(now)
	ho.marks.lift(digest, now)
	return held
}

// Len returns the remembered digests and deaths.
func (ho *Holds) Len() (digests, deaths int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.marks.len(), ho.deaths.order.Len()
}
