// Package coldrate bounds the requests that reach cold upstreams: ones that have just
// started, whose zone was evacuated, or that say so in their rows. Load pattern: the
// requests of a whole site that rush to an upstream with empty queues, from many gateways
// that know nothing of each other's sends.
//
// A few of the known gateways may send to each cold upstream, each a fixed number within
// any second (see shares.go). The others send nothing to it.
package coldrate

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// window is the period for which the rate of a cold upstream is promised. Requests
	// that are sent that far apart may arrive closer to each other by up to jitter.
	window = time.Second
	jitter = 100 * time.Millisecond
	// startGrace is the time from the first row in which further upstreams are taken for
	// ones that have run before this process.
	startGrace = 3 * time.Second
	// stateTTL is how long the state of an upstream that is no longer listed is kept. One
	// that is listed again as it was has not started anew.
	stateTTL = 5 * time.Minute
	// maxEnds bounds the zones whose end of evacuation is kept; the names come from outside.
	maxEnds = 64
	// maxChanges bounds the changes that are kept until Changes is called.
	maxChanges = 4096
)

// Sources of the state of an upstream.
const (
	SourceRow        = "row"
	SourceStart      = "start seen"
	SourceDeath      = "death"
	SourceEvacuation = "end of evacuation"
	SourceTime       = "time passed"
)

// Change is a change of an upstream's state.
type Change struct {
	Upstream string
	Service  string
	Cold     bool
	Left     time.Duration // of the cold time
	Source   string
}

// upstream is the state of one upstream.
type upstream struct {
	service, zone string
	started       int64
	version       uint64    // of its newest row
	listedAt      time.Time // when it had a row or was in use last
	coldUntil     time.Time
	announced     bool // the last change reported was to cold
	// Rows up to this version, and the next warm ones as counted, may be older than what
	// made the upstream cold.
	doubtful uint64
	ignore   int
	// heldUntil is until when requests from before it was known to be cold take up its rate.
	heldUntil time.Time
	permits   []*Permit
	// sender is whether this gateway is among the first senders, by the gateways known at
	// a generation.
	sender    bool
	senders   int
	senderGen uint64
}

// end is the end of a zone's evacuation.
type end struct {
	version uint64
	at      time.Time // when this gateway first heard of it
}

// Limiter knows which upstreams are cold and what this gateway may send to them. Its
// methods are called concurrently.
type Limiter struct {
	clk  citronstream.Clock
	self string
	spec func(service string) citronstream.ServiceSpec
	// An upstream gets at most overage times its rate plus slack within a second.
	overage, slack float64
	recent         func(id string) int

	mu         sync.Mutex
	began      time.Time
	firstRow   time.Time
	upstreams  map[string]*upstream
	ends       map[string]end       // newest ends of evacuations by zone
	gateways   map[string]time.Time // other gateways by address, when they were known last
	gen        uint64               // grows with each change of the gateways
	listedAt   time.Time            // start of the last complete read of the list of gateways
	listed     map[string]bool      // the other gateways of that list
	restoredAt time.Time            // when the store came back from an older copy last; zero if never
	linked     map[string]bool      // other gateways that are linked
	peerCounts map[string]peerCount // how many gateways peers know, by peer
	reason     string               // why the list may be incomplete, see checkList
	fewLinked  bool                 // less than half of the gateways of the list are linked
	waiting    map[string][]*Waiter // by service, in the order of their turns
	changes    []Change             // since the last call of Changes
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithBound sets the bound on what a cold upstream gets within a second: overage times its
// rate, plus slack.
func WithBound(overage, slack float64) Option {
	return func(li *Limiter) { li.overage, li.slack = overage, slack }
}

// WithRecent sets the function that returns how many requests an upstream got from all gateways
// within the last second, as far as this one knows. It must not call the limiter.
func WithRecent(recent func(id string) int) Option {
	return func(li *Limiter) { li.recent = recent }
}

// New returns a limiter for the gateway with this address. Spec returns the settings of a
// service.
func New(clk citronstream.Clock, self string, spec func(service string) citronstream.ServiceSpec, opts ...Option) *Limiter {
	li := &Limiter{
		clk: clk, self: self, spec: spec, recent: func(string) int { return 0 }, began: clk.Now(), gen: 1,
		upstreams: make(map[string]*upstream), ends: make(map[string]end), gateways: make(map[string]time.Time),
		listed: make(map[string]bool), linked: make(map[string]bool), peerCounts: make(map[string]peerCount), waiting: make(map[string][]*Waiter),
	}
	for _, opt := range opts {
		opt(li)
	}
	return li
}

// Row records a row of an upstream. Rows that are not newer than the last one are ignored.
func (li *Limiter) Row(mb citronstream.Member) {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	if li.firstRow.IsZero() {
		li.firstRow = now
	}
	up := li.upstreams[mb.ID]
	if up != nil && mb.Revision <= up.version {
		return
	}
	started := up != nil && mb.StartedMs != up.started
	if up == nil {
		up, started = &upstream{}, now.Sub(li.firstRow) > startGrace
		li.upstreams[mb.ID] = up
	}
	up.service, up.zone, up.started, up.version, up.listedAt = mb.Service, mb.Zone, mb.StartedMs, mb.Revision, now
	until := now.Add(mb.Cold)
	switch {
	case started && mb.Cold == 0:
		// It may have written the row before the traffic that makes it cold.
		li.makeCold(mb.ID, up, li.spec(mb.Service).ColdStart, SourceStart)
		up.doubtful, up.ignore = max(up.doubtful, mb.Revision), 0
	case started && mb.Revision > up.doubtful:
		up.ignore = 0
		li.setCold(mb.ID, up, until, SourceRow)
	case mb.Revision <= up.doubtful || up.ignore > 0:
		if mb.Revision > up.doubtful {
			up.ignore--
		}
		if until.After(up.coldUntil) {
			li.setCold(mb.ID, up, until, SourceRow)
		}
	default:
		li.setCold(mb.ID, up, until, SourceRow)
	}
	// A gateway that starts hears of zones before it hears of their upstreams.
	if en := li.ends[mb.Zone]; mb.Revision <= en.version {
		if left := en.at.Add(li.spec(mb.Service).ColdStart).Sub(now); left > 0 {
			li.makeCold(mb.ID, up, left, SourceEvacuation)
		}
		up.doubtful = max(up.doubtful, en.version)
	}
}

// Died records the death of an upstream that may be restarted within some time. Two newer
// rows prove that it runs: the first one may have been on its way.
func (li *Limiter) Died(id string, within time.Duration) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if up := li.upstreams[id]; up != nil {
		li.makeCold(id, up, within+li.spec(up.service).ColdStart, SourceDeath)
		up.doubtful, up.ignore = max(up.doubtful, up.version), 1
	}
}

// TakenBack records the end of a zone's evacuation at a version of the store. Rows of a
// higher version were written after it.
func (li *Limiter) TakenBack(zone string, version uint64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if version > li.ends[zone].version {
		li.ends[zone] = end{version: version, at: li.clk.Now()}
		li.limitEnds()
	}
	for id, up := range li.upstreams {
		if up.zone == zone && up.version <= version {
			li.makeCold(id, up, li.spec(up.service).ColdStart, SourceEvacuation)
			up.doubtful = max(up.doubtful, version)
		}
	}
}

// Restored records that the store has come back from an older copy. Rows up to a version may be
// older than what made an upstream cold, and its list of gateways may lack some for a while.
func (li *Limiter) Restored(version uint64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.restoredAt = li.clk.Now()
	for _, up := range li.upstreams {
		up.doubtful = max(up.doubtful, version)
	}
	for zone, en := range li.ends {
		en.version = max(en.version, version)
		li.ends[zone] = en
	}
}

// limitEnds forgets the oldest end of an evacuation if there are too many.
func (li *Limiter) limitEnds() {
	if len(li.ends) <= maxEnds {
		return
	}
	oldest, version := "", uint64(math.MaxUint64)
	for zone, en := range li.ends {
		if en.version < version {
			oldest, version = zone, en.version
		}
	}
	delete(li.ends, oldest)
}

// makeCold makes an upstream cold for at least some time, if it is of a service whose
// upstreams turn cold.
func (li *Limiter) makeCold(id string, up *upstream, left time.Duration, source string) {
	if li.spec(up.service).ColdStart <= 0 {
		return
	}
	if until := li.clk.Now().Add(left); until.After(up.coldUntil) {
		li.setCold(id, up, until, source)
	}
}

func (li *Limiter) setCold(id string, up *upstream, until time.Time, source string) {
	up.coldUntil = until
	left := until.Sub(li.clk.Now())
	if cold := left > 0; cold != up.announced {
		up.announced = cold
		if cold && source == SourceRow {
			li.hold(id, up)
		}
		if len(li.changes) < maxChanges {
			li.changes = append(li.changes, Change{Upstream: id, Service: up.service, Cold: cold, Left: max(0, left), Source: source})
		}
	}
}

// hold holds the permits of an upstream that has turned cold while it ran, if it has got so
// many requests within the last second that those of the senders would exceed the bound.
func (li *Limiter) hold(id string, up *upstream) {
	rate := li.spec(up.service).ColdRate
	if bound := li.overage*rate + li.slack; bound > 0 && li.recent(id)+max(1, int(min(rate, bound/2))) > int(bound) {
		up.heldUntil = li.clk.Now().Add(window + jitter)
	}
}

// Changes returns the changes since the last call, the oldest first. They are kept for it
// rather than passed to a function, as rows are recorded with locks held that the choice of
// an upstream waits for.
func (li *Limiter) Changes() []Change {
	li.mu.Lock()
	defer li.mu.Unlock()
	changes := li.changes
	li.changes = nil
	return changes
}

// Sweep reports the upstreams whose cold time has passed, forgets those that have not been
// listed for long, and checks whether the list of gateways may be incomplete. Rows of listed ones are not renewed while the store is away.
func (li *Limiter) Sweep(listed func(id string) bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	for id, up := range li.upstreams {
		if up.announced && !now.Before(up.coldUntil) {
			li.setCold(id, up, up.coldUntil, SourceTime)
		}
		if listed(id) {
			up.listedAt = now
		}
		if now.Sub(up.listedAt) > stateTTL && !now.Before(up.coldUntil) {
			delete(li.upstreams, id)
		}
	}
	li.forgetGateways(now)
	li.checkList(now)
}

// limited returns the state of an upstream whose rate is bounded now, or nil, and the rate.
// The caller holds the lock.
func (li *Limiter) limited(id string, now time.Time) (*upstream, float64) {
	up := li.upstreams[id]
	if up == nil || !now.Before(up.coldUntil) {
		return nil, 0
	}
	if rate := li.spec(up.service).ColdRate; rate > 0 {
		return up, rate
	}
	return nil, 0
}

// Permit allows one request to a cold upstream. It counts from Take until a second after
// Sent. Its methods may be called on nil.
type Permit struct {
	li *Limiter
	id string
	at time.Time // when the request was sent; zero before
}

// Free reports whether an upstream may get a request of this gateway now.
func (li *Limiter) Free(id string) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.free(id, li.clk.Now())
}

func (li *Limiter) free(id string, now time.Time) bool {
	up, rate := li.limited(id, now)
	return up == nil || li.left(id, up, rate, now) > 0
}

// Limited reports whether the rate of an upstream is bounded now.
func (li *Limiter) Limited(id string) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	up, _ := li.limited(id, li.clk.Now())
	return up != nil
}

// Take takes a permit for a request to an upstream. It returns nil without one that is
// needed, and true if the request may be sent. A permit ends with Sent or Return.
func (li *Limiter) Take(id string) (*Permit, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	up, rate := li.limited(id, now)
	if up == nil {
		return nil, true
	}
	if li.left(id, up, rate, now) <= 0 {
		return nil, false
	}
	pe := &Permit{li: li, id: id}
	up.permits = append(up.permits, pe)
	return pe, true
}

// left returns how many requests this gateway may send to a cold upstream now.
func (li *Limiter) left(id string, up *upstream, rate float64, now time.Time) int {
	sh := li.share(id, up, rate, now)
	up.permits = slices.DeleteFunc(up.permits, func(pe *Permit) bool { return !pe.at.IsZero() && now.Sub(pe.at) >= sh.window })
	if now.Before(up.heldUntil) {
		return 0
	}
	return sh.count - len(up.permits)
}

// Sent records that the request was sent completely.
func (pe *Permit) Sent() {
	if pe == nil {
		return
	}
	pe.li.mu.Lock()
	defer pe.li.mu.Unlock()
	if pe.at.IsZero() {
		pe.at = pe.li.clk.Now()
	}
}

// Return returns a permit of a request that was not sent.
func (pe *Permit) Return() {
	if pe == nil {
		return
	}
	pe.li.mu.Lock()
	defer pe.li.mu.Unlock()
	if up := pe.li.upstreams[pe.id]; up != nil && pe.at.IsZero() {
		up.permits = slices.DeleteFunc(up.permits, func(other *Permit) bool { return other == pe })
	}
}

// Next returns about how long it takes until this gateway may send to one of the upstreams,
// after a number of other requests, by the permits that run out and the ends of their cold
// times.
func (li *Limiter) Next(ids []string, ahead int) time.Duration {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	if len(ids) == 0 {
		return 0
	}
	const never = time.Duration(math.MaxInt64)
	warm, permit, perSecond := never, never, 0.0
	for _, id := range ids {
		up, rate := li.limited(id, now)
		if up == nil {
			return 0
		}
		warm = min(warm, up.coldUntil.Sub(now))
		sh := li.share(id, up, rate, now)
		perSecond += float64(sh.count) / sh.window.Seconds()
		switch {
		case li.left(id, up, rate, now) > 0:
			permit = 0
		case sh.count > 0 && now.Before(up.heldUntil):
			permit = min(permit, up.heldUntil.Sub(now))
		case sh.count > 0:
			for _, pe := range up.permits {
				sent := pe.at
				if sent.IsZero() {
					sent = now // it is being sent
				}
				permit = min(permit, sh.window-now.Sub(sent))
			}
		}
	}
	if permit < never {
		permit += time.Duration(float64(ahead) / perSecond * float64(time.Second))
	}
	return min(warm, permit)
}

// Counts returns the number of cold upstreams, and which share of the rate of those whose
// rate is bounded this gateway may use.
func (li *Limiter) Counts() (cold int, share float64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	own, all := 0.0, 0.0
	for id, up := range li.upstreams {
		if now.Before(up.coldUntil) {
			cold++
		}
		if _, rate := li.limited(id, now); rate > 0 {
			sh := li.share(id, up, rate, now)
			own, all = own+float64(sh.count)*float64(window)/float64(max(window, sh.window-jitter)), all+rate
		}
	}
	if all > 0 {
		share = own / all
	}
	return cold, share
}
