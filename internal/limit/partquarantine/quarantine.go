// Package partquarantine detects prompt parts that crash the upstreams which begin
// to answer them, whatever else the request has, and holds (refuses) them. Only a complete
// answer proves a part sound. Load pattern: requests with such a part at any entry, beside
// many sound ones that share their other parts, of which a long session has hundreds.
package partquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// crashesToHold is the number of independent crashes after which a part is held.
	// When a single request explains all of them, crashesOfOne are needed: its
	// other parts were there each time as well.
	crashesToHold = 3
	crashesOfOne  = 4
	// afterHold is the number of crashes that still count when a hold ends.
	afterHold = crashesToHold - 1
	// crashGap is the time after which a crash is independent of the one before, also
	// for requests that were in flight at both: upstreams lost for one reason go
	// within less. No more than two crashes count within it.
	crashGap = time.Second
	// settleTime is how long after a crash a part is held: by then the other entries
	// have told what they had at the upstream and what has run soundly meanwhile.
	settleTime = 250 * time.Millisecond
	// soundFor is how long a sound run vouches for a suspect part.
	soundFor = 10 * time.Second
	// busyRetryAfter is the Retry-After of requests that a suspect part delays: about
	// the time to the first event of the request that is tried.
	busyRetryAfter = time.Second

	// unframedDelay is how long after an answer whose end was not told the death of its upstream
	// may become known, and how long before it such an answer may have been the upstream's end.
	unframedDelay = time.Second

	defaultCap  = 1 << 14 // suspects and holds
	soundCap    = 1 << 15 // parts with a sound run
	deathCap    = 1024    // explained deaths
	maxUnframed = 4096
	// maxChanges bounds the log lines of a death with long prompts.
	maxChanges = 256
	// Bounds of a report, and of the requests of a crash that several report.
	maxRequests = 1024
	maxDigests  = 64
	// maxDependent bounds the crashes of a part that don't count.
	maxDependent = 2 * crashesOfOne
	// maxInFlight bounds the parts of requests in flight that are counted.
	maxInFlight = 1 << 16
	maxUnsent   = 1 << 13
	maxRecords  = 256
)

// Report describes the death of an upstream.
type Report struct {
	Death    string // the same for all reporters, see poison.DeathID
	Upstream string
	Source   string        // the entry that reports it
	Own      bool          // that is this entry
	Age      time.Duration // since the death
	// Requests are those without a complete answer at the upstream.
	Requests []citronstream.SuspectRequest
}

// Change is a change of a part's state.
type Change struct {
	Event    Event
	Part     uint64
	Upstream string
	Death    string
	Source   string
	Crashes  int
}

// soundRun is a run of a part to the end of its answer.
type soundRun struct {
	at  time.Time
	own bool // at this entry
}

// unframedAnswer is an answer whose end only the end of its connection told.
type unframedAnswer struct {
	parts    []uint64
	upstream string
	at       time.Time
}

// Event is the kind of a Change.
type Event string

// The events.
const (
	Suspected Event = "prompt part suspected"
	Held      Event = "prompt part held"
	Cleared   Event = "prompt part cleared"
)

// Quarantine keeps the suspect and the held parts.
type Quarantine struct {
	clk      citronstream.Clock
	cap      int
	holdFor  time.Duration
	onChange func(Change)

	mu        sync.Mutex
	records   *table
	sound     *lru[uint64, soundRun] // the last ones
	explained *lru[string, struct{}] // deaths at which a held part was in flight
	admitted  map[uint64]int         // requests without a first event, by part
	sent      map[uint64]int         // those of them that are at an upstream
	open      map[uint64]int         // requests with a first event whose answers go on, by part
	unframed  []unframedAnswer       // the oldest first
	unsent    map[uint64]time.Time   // sound runs that the peers are not told of
	untold    []uint64               // holds that the peers are not told of
	urgent    chan struct{}
	changes   []Change // for onChange
}

// Option changes a Quarantine.
type Option func(*Quarantine)

// WithCap bounds the suspect and held parts. Default 16,384.
func WithCap(parts int) Option { return func(qu *Quarantine) { qu.cap = max(parts, 1) } }

// WithOnChange sets a function that is called for each change.
func WithOnChange(call func(Change)) Option { return func(qu *Quarantine) { qu.onChange = call } }

// New returns an empty Quarantine. Parts are held for HoldFor of the limits.
func New(clk citronstream.Clock, li citronstream.Limits, opts ...Option) *Quarantine {
	qu := &Quarantine{
		clk: clk, cap: defaultCap, holdFor: li.HoldFor.Std(), onChange: func(Change) {},
		sound: newLRU[uint64, soundRun](soundCap), explained: newLRU[string, struct{}](deathCap),
		admitted: make(map[uint64]int), sent: make(map[uint64]int), open: make(map[uint64]int), unsent: make(map[uint64]time.Time), urgent: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(qu)
	}
	qu.records = newTable(qu.cap)
	return qu
}

// unlock ends a critical section and reports its changes.
func (qu *Quarantine) unlock() {
	changes := qu.changes
	qu.changes = nil
	qu.mu.Unlock()
	for _, ch := range changes {
		qu.onChange(ch)
	}
}

// Crashed applies a report of this or another entry. Reports of one death, in any
// order, count once for each part.
func (qu *Quarantine) Crashed(re Report) {
	qu.mu.Lock()
	defer qu.unlock()
	now := qu.clk.Now()
	at := now.Add(-max(0, re.Age))
	if re.Age > qu.holdFor {
		return
	}
	qu.unframed = slices.DeleteFunc(qu.unframed, func(ua unframedAnswer) bool {
		return ua.upstream == re.Upstream && !ua.at.Before(at.Add(-unframedDelay))
	})
	requests := re.Requests[:min(len(re.Requests), maxRequests)]
	if qu.explains(re.Death, requests, now) {
		return
	}
	for _, rq := range requests {
		for i, part := range rq.Parts {
			if run, ok := qu.sound.get(part); ok && !run.at.Before(at) {
				if run.own {
					qu.tell(part, run.at) // it was no suspect then
				}
				continue
			}
			rec := qu.records.add(part)
			rec.position, rec.own = rq.First+i, rec.own || re.Own
			if rec.count(crash{death: re.Death, at: at, sent: now.Add(-rq.Sent), requests: []uint64{rq.Digest}}) {
				rec.upstream = re.Upstream
				qu.changed(Suspected, rec, re)
			}
		}
	}
}

// Tick holds the part with the most crashes, if it has enough. It is called a few
// times a second.
func (qu *Quarantine) Tick() {
	qu.mu.Lock()
	defer qu.unlock()
	now := qu.clk.Now()
	for len(qu.unframed) > 0 && now.Sub(qu.unframed[0].at) >= unframedDelay {
		qu.prove(qu.unframed[0].parts, qu.unframed[0].at)
		qu.unframed = slices.Delete(qu.unframed, 0, 1)
	}
	for rec := qu.culprit(now); rec != nil; rec = qu.culprit(now) {
		qu.hold(rec, now.Add(qu.holdFor))
		last := rec.crashes[len(rec.crashes)-1]
		qu.changed(Held, rec, Report{Upstream: rec.upstream, Death: last.death})
		if rec.own && len(qu.untold) < maxUnsent {
			qu.untold = append(qu.untold, rec.part)
		}
	}
}

// explains reports whether a held part was in flight at a death. The other parts
// that were there are no suspects then.
func (qu *Quarantine) explains(death string, requests []citronstream.SuspectRequest, now time.Time) bool {
	if _, ok := qu.explained.get(death); ok {
		return true
	}
	for _, rq := range requests {
		for _, part := range rq.Parts {
			if rec := qu.lookup(part, now); rec != nil && rec.held() {
				qu.explained.put(death, struct{}{})
				qu.records.forget(death, []uint64{rq.Digest}, qu.hasRun)
				return true
			}
		}
	}
	return false
}

// culprit returns the part to hold, nil if there is none. Parts that come together
// have the same crashes; of those, the one that ran soundly longest ago or not at
// all, or else the one furthest back in the prompt, concerns the fewest requests. As
// not all of them count for each of these parts, the one with the most may be another.
func (qu *Quarantine) culprit(now time.Time) *record {
	var best *record
	var bestSound time.Time
	for el := qu.records.suspects.Front(); el != nil; el = el.Next() {
		rec := el.Value.(*record)
		if !rec.due() || now.Sub(rec.last()) < settleTime {
			continue
		}
		run, _ := qu.sound.get(rec.part)
		if best == nil || cmp.Or(cmp.Compare(len(rec.crashes), len(best.crashes)), bestSound.Compare(run.at), cmp.Compare(rec.position, best.position)) > 0 {
			best, bestSound = rec, run.at
		}
	}
	if best == nil {
		return nil
	}
	crashes := best.crashes
	for el := qu.records.suspects.Front(); el != nil; el = el.Next() {
		rec := el.Value.(*record)
		run, _ := qu.sound.get(rec.part)
		if cmp.Or(bestSound.Compare(run.at), cmp.Compare(rec.position, best.position)) > 0 && rec.explains(crashes) {
			best, bestSound = rec, run.at
		}
	}
	return best
}

// hold holds a part. The parts of other requests at the upstreams that it crashed
// are no longer suspected of that.
func (qu *Quarantine) hold(rec *record, until time.Time) {
	rec.heldUntil = until
	qu.records.moveTo(rec, qu.records.holds)
	for _, cr := range slices.Concat(rec.crashes, rec.dependent) {
		qu.explained.put(cr.death, struct{}{})
		qu.records.forget(cr.death, cr.requests, qu.hasRun)
	}
}

// hasRun reports whether a sound run of a part is known, however old.
func (qu *Quarantine) hasRun(part uint64) bool {
	_, ok := qu.sound.get(part)
	return ok
}

// lookup returns the record of a part, nil if it has none. When its hold has ended,
// the part is a suspect; suspects without further crashes are forgotten.
func (qu *Quarantine) lookup(part uint64, now time.Time) *record {
	rec := qu.records.get(part)
	if rec == nil {
		return nil
	}
	if rec.held() && !now.Before(rec.heldUntil) {
		rec.heldUntil = time.Time{}
		rec.crashes, rec.dependent = rec.crashes[max(0, len(rec.crashes)-afterHold):], nil
		for i := range rec.crashes {
			rec.crashes[i].at, rec.crashes[i].explained = now, true
		}
		qu.records.moveTo(rec, qu.records.suspects)
	}
	if !rec.held() && now.Sub(rec.last()) > qu.holdFor {
		qu.records.remove(rec)
		return nil
	}
	return rec
}

// prove records that parts have run soundly here, and has the peers told of suspects.
func (qu *Quarantine) prove(parts []uint64, at time.Time) {
	for _, part := range parts {
		if qu.ran(part, at, "") {
			qu.tell(part, at)
		}
	}
}

// ran records a sound run, which ends the suspicion and the hold of earlier crashes.
// It reports whether it did. Source is empty for a run at this entry.
func (qu *Quarantine) ran(part uint64, at time.Time, source string) bool {
	if last, ok := qu.sound.get(part); !ok || at.After(last.at) {
		qu.sound.put(part, soundRun{at: at, own: source == ""})
	}
	rec := qu.records.get(part)
	if rec == nil {
		return false
	}
	ended := func(cr crash) bool { return !cr.at.After(at) }
	rec.crashes, rec.dependent = slices.DeleteFunc(rec.crashes, ended), slices.DeleteFunc(rec.dependent, ended)
	if len(rec.crashes) > 0 {
		return false
	}
	qu.records.remove(rec)
	qu.changed(Cleared, rec, Report{Source: source})
	return true
}

// changed records a change for onChange: all holds, of other changes at most maxChanges at once.
func (qu *Quarantine) changed(ev Event, rec *record, re Report) {
	if ev != Held && len(qu.changes) >= maxChanges {
		return
	}
	qu.changes = append(qu.changes, Change{Event: ev, Part: rec.part, Upstream: re.Upstream, Death: re.Death, Source: re.Source, Crashes: len(rec.crashes)})
}

// PartName returns the name of a part in logs.
func PartName(part uint64) string { return fmt.Sprintf("%016x", part) }

// Counts returns the numbers of suspect and held parts.
func (qu *Quarantine) Counts() (suspects, held int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.records.suspects.Len(), qu.records.holds.Len()
}
