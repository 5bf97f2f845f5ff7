// Package poison detects request content that crashes upstreams and holds
// (refuses) it, as described in docs/design.md section 10.
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
	// deathCap bounds the recorded deaths. A rack has some tens of upstreams.
	deathCap = 1024
	// reportCap bounds the digests of one death; an upstream runs far fewer calls at a time.
	reportCap = 1024
	// learnTime is how long a process that was told nothing by a peer knows nothing of the
	// deaths before its start. Content that crashes upstreams comes again within less.
	learnTime = time.Minute
	// firstHold is how long content is held after a single death while nothing is known;
	// it is a suspect afterwards. Sound content may be alone at an upstream that dies.
	firstHold = time.Minute
	// settleTime is how long after a death its reporters have told what ran there.
	settleTime = 250 * time.Millisecond
)

// Report describes the death of an upstream, or a lift. Processes exchange it as JSON.
type Report struct {
	// ID identifies the death, not the message: all reporters of a death use the
	// same ID (see DeathID), or it would count twice.
	ID       string    `json:"ID"`
	Upstream string    `json:"Upstream"`
	At       time.Time `json:"At"`
	// Running are the digests that were running there.
	Running []uint64 `json:"Running"`
	// Held are the digests that the reporter held because of this death.
	Held []uint64 `json:"Held,omitempty"`
	// Lifted are digests whose holds up to At an operator lifted.
	Lifted []uint64 `json:"Lifted,omitempty"`
	// Age is the time since the death, and Requests are the requests that the upstream
	// had not answered completely, for the search for a prompt part.
	Age      time.Duration                 `json:"Age,omitempty"`
	Requests []citronstream.SuspectRequest `json:"Requests,omitempty"`
	// Rest says that this has further Requests of an earlier report, and nothing else.
	Rest bool `json:"Rest,omitempty"`
}

// DeathID returns the ID of an upstream's death. Epoch is that of its agent's
// grant; nth counts the deaths that the agent has seen, from 1. It is 0 if the
// agent died as well, which every entry can report.
func DeathID(upstream string, epoch, nth uint64) string {
	return upstream + "/" + strconv.FormatUint(epoch, 10) + "/" + strconv.FormatUint(nth, 10)
}

// death is what is known about one death.
type death struct {
	seen     map[uint64]bool // digests of the reports so far
	suspects []uint64        // digests that were already suspects
	upstream string
	at       time.Time // of the first report
}

// Holds keeps the suspects and the held digests. While there are none, checking
// a request costs one atomic load.
type Holds struct {
	clk     citronstream.Clock
	cap     int
	holdFor atomic.Int64
	size    atomic.Int64

	mu      sync.Mutex
	digests *digestTable
	deaths  *deathTable
	// While the process learns, it knows nothing of the deaths before its start.
	learnsUntil time.Time
	learned     chan struct{}   // closed when a peer has told what it knows
	unsettled   []*death        // of the time in which the process learned
	learning    atomic.Bool     // false once the process knows
	sound       map[uint64]bool // digests that ran to completion while it learned
}

// Option changes Holds.
type Option func(*Holds)

// WithCap bounds the recorded digests. Default 4,096.
func WithCap(digests int) Option { return func(ho *Holds) { ho.cap = max(digests, 1) } }

// WithLearning makes a process that starts know nothing until a peer that knows has told it,
// for a minute at most. Meanwhile, content is held after the first death at which it ran
// alone, as it may have crashed upstreams before, unless it has run to completion here. The
// owner calls Tick.
func WithLearning() Option {
	return func(ho *Holds) {
		ho.learnsUntil, ho.sound = ho.clk.Now().Add(learnTime), make(map[uint64]bool)
		ho.learning.Store(true)
	}
}

// New returns empty Holds. Digests are held for HoldFor of the limits.
func New(clk citronstream.Clock, li citronstream.Limits, opts ...Option) *Holds {
	ho := &Holds{clk: clk, cap: defaultCap, deaths: newDeaths(), learned: make(chan struct{})}
	for _, opt := range opts {
		opt(ho)
	}
	ho.digests = newMarks(ho.cap)
	ho.Configure(li)
	return ho
}

// Configure sets the duration of later holds.
func (ho *Holds) Configure(li citronstream.Limits) { ho.holdFor.Store(int64(li.HoldFor.Std())) }

// Died records the death of an upstream under a new ID and returns the newly
// held digests. If several processes can see the death, use Merge with a DeathID.
func (ho *Holds) Died(upstream string, running []uint64) []uint64 {
	return ho.Merge(Report{ID: citronstream.NewID(), Upstream: upstream, At: ho.clk.Now(), Running: running})
}

// Merge applies a report of this or another process and returns the newly held
// digests. A repeated report changes nothing. A report older than HoldFor is ignored.
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
		ho.digests.lift(digest, at)
	}
	if len(re.Lifted) > 0 {
		return nil // a lift is not a death
	}
	de := ho.deaths.get(re.ID)
	diedAt := now.Add(-max(0, re.Age))
	if ho.learns(now) && len(de.seen) == 0 {
		de.upstream, de.at = re.Upstream, now
		ho.unsettled = append(ho.unsettled, de)
	}
	for _, digest := range re.Running[:min(len(re.Running), reportCap)] {
		if de.seen[digest] || len(de.seen) >= reportCap {
			continue
		}
		de.seen[digest] = true
		// A suspect that a peer told after this death may be one because of it.
		if dr := ho.digests.get(digest); dr != nil && !dr.told.After(diedAt) {
			de.suspects = append(de.suspects, digest)
		}
		ho.digests.addSuspect(digest)
	}
	held := make([]uint64, 0, 1)
	// With two or more suspects the cause is unknown, so none is held.
	if len(de.suspects) == 1 {
		held = append(held, de.suspects[0])
	}
	for _, digest := range re.Held[:min(len(re.Held), reportCap)] {
		if !slices.Contains(held, digest) {
			held = append(held, digest)
		}
	}
	held = slices.DeleteFunc(held, func(digest uint64) bool {
		return !ho.digests.hold(Hold{Digest: digest, At: at, Until: at.Add(holdFor), Upstream: re.Upstream}, now)
	})
	ho.size.Store(int64(ho.digests.len()))
	return held
}

// Finished clears a suspect that ran to completion. A held digest stays held
// until the hold expires or an operator lifts it.
func (ho *Holds) Finished(digest uint64) {
	if ho.size.Load() == 0 && !ho.learning.Load() {
		return
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.ran(digest)
	ho.digests.clearSuspect(digest, ho.clk.Now())
	ho.size.Store(int64(ho.digests.len()))
}

// Suspect reports whether the digest is a suspect, of which an upstream may run
// only one at a time. A digest whose hold has ended is a suspect again.
func (ho *Holds) Suspect(digest uint64) bool {
	if ho.size.Load() == 0 {
		return false
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.digests.suspect(digest)
}

// Held reports whether the digest is refused, and until when.
func (ho *Holds) Held(digest uint64) (time.Time, bool) {
	if ho.size.Load() == 0 {
		return time.Time{}, false
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.digests.held(digest, ho.clk.Now())
}

// ExtraSuspects returns the suspects among the running digests, except the first.
// A report can turn several running calls into suspects; an agent cancels the
// surplus calls that are idempotent, so that the next death has a single suspect.
func (ho *Holds) ExtraSuspects(running []uint64) []uint64 {
	if ho.size.Load() == 0 {
		return nil
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	var suspects []uint64
	for _, digest := range running {
		if ho.digests.suspect(digest) && !slices.Contains(suspects, digest) {
			suspects = append(suspects, digest)
		}
	}
	if len(suspects) < 2 {
		return nil
	}
	return suspects[1:]
}

// Lift ends a hold at the request of an operator, here and in each process that
// imports the export of this one. The digest stays a suspect. Lift returns false
// if the digest is not held.
func (ho *Holds) Lift(digest uint64) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	mk := ho.digests.get(digest)
	held := mk != nil && mk.hold.inForce(now)
	ho.digests.lift(digest, now)
	return held
}

// Len returns the number of recorded digests and deaths.
func (ho *Holds) Len() (digests, deaths int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.digests.len(), ho.deaths.order.Len()
}
