// Package view holds a process's copy of the state of its site: the
// configuration in force and the upstreams. Rows come from the store and from
// peers in any order; of each row the newest version wins.
package view

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/evacuation"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/outage"
	"github.com/citronstream/citronstream/internal/upstream/selfreport"
	"github.com/go-logr/logr"
)

const (
	// expiryGrace is how long after the store's return an upstream stays in use whose
	// row may have expired because its heartbeats could not reach the store either.
	expiryGrace = outage.Grace
	// tombstoneTTL is how long a removal is kept, so that an older version of
	// the row that arrives late is ignored. Peers forward changes within seconds.
	tombstoneTTL = time.Minute
	// maxRefused is the number of refused configurations that are remembered: more than
	// peers that differ have in force at one time.
	maxRefused = 8
)

// Decode holds the functions that decode rows, the key of the configuration, and how
// the keys of upstreams and those of evacuated zones begin. Other rows are ignored.
type Decode struct {
	Routing          func(value []byte) (*citronstream.Routing, error)
	Member           func(row citronstream.Row) (citronstream.Member, error)
	ConfigKey        string
	MemberPrefix     string
	EvacuationPrefix string // empty: zones are not evacuated
}

// record is the newest version of a row.
type record struct {
	citronstream.Change
	node    *node.Node // nil if the row is malformed or removed
	removed time.Time  // when this process received the removal
	inGrace bool       // removed, but in use until expiryGrace after the store's return
	// What the last well-formed row said of the process that wrote it; started is 0 without one.
	started  int64
	sequence float64
}

// View holds the rows. Routes, Members and Revision take no lock.
type View struct {
	clk    citronstream.Clock
	log    logr.Logger
	decode Decode

	routes  atomic.Pointer[Routes]
	members atomic.Pointer[Members]

	mu   sync.Mutex
	rows map[string]*record
	// settled is the version up to which the rows of upstreams are complete: one without a
	// record had no row then.
	settled uint64
	// newest is the greatest version of the store that was heard of.
	newest uint64
	// missingZones are evacuated zones whose rows a copy of the store lacks, with its version.
	missingZones map[string]uint64
	reports      *selfreport.Reports
	zones        *evacuation.Zones
	config       citronstream.Row
	refused      []uint64 // versions of the last configurations that were not accepted
	outage       *outage.Record
	onChange     func(changes []citronstream.Change, source string)
	onMembers    []func(*Members)
	onRow        func(mb citronstream.Member)
	onTakenBack  func(zone string, version uint64)
	onEvacuated  func(zone string)
	onRestored   func(version uint64)
}

// Option configures a View.
type Option func(*View)

// WithHeartbeat sets the interval in which upstreams write their rows, which the store
// keeps for three of them. Without it, a row may have expired however new it is.
func WithHeartbeat(interval time.Duration) Option {
	return func(vi *View) { vi.outage = outage.New(interval) }
}

// New returns an empty view.
func New(clk citronstream.Clock, log logr.Logger, decode Decode, opts ...Option) *View {
	vi := &View{clk: clk, log: log, decode: decode, outage: outage.New(0), rows: make(map[string]*record), missingZones: make(map[string]uint64), zones: evacuation.New(), reports: selfreport.New(), onChange: func([]citronstream.Change, string) {}}
	vi.onRow, vi.onTakenBack, vi.onEvacuated, vi.onRestored = func(citronstream.Member) {}, func(string, uint64) {}, func(string) {}, func(uint64) {}
	for _, opt := range opts {
		opt(vi)
	}
	vi.members.Store(newMembers(nil, nil, nil))
	return vi
}

// Sources of rows besides the names of peers.
const (
	SourceStore  = "store"
	SourceExpiry = "grace period ended"
)

// OnChange sets the function that is called with rows that changed the view and
// their source, to forward them to peers. It must not call the view.
func (vi *View) OnChange(changed func(changes []citronstream.Change, source string)) {
	vi.onChange = changed
}

// OnMembers adds a function that is called with each new set of upstreams. It
// may call only Routes, Members and Revision.
func (vi *View) OnMembers(onMembers func(*Members)) { vi.onMembers = append(vi.onMembers, onMembers) }

// OnRow sets the function that is called with each newer row of an upstream, heartbeats
// included. It may call only Routes, Members and Revision.
func (vi *View) OnRow(onRow func(mb citronstream.Member)) { vi.onRow = onRow }

// OnTakenBack sets the function that is called when the evacuation of a zone has ended at
// a version of the store. It may call only Routes, Members and Revision.
func (vi *View) OnTakenBack(onTakenBack func(zone string, version uint64)) {
	vi.onTakenBack = onTakenBack
}

// OnEvacuated sets the function that is called when a zone is evacuated that was not, before its upstreams
// are left out. It may call only Routes, Members and Revision.
func (vi *View) OnEvacuated(onEvacuated func(zone string)) { vi.onEvacuated = onEvacuated }

// Routes returns the configuration in force, or nil before the first.
func (vi *View) Routes() *Routes { return vi.routes.Load() }

// Members returns the upstreams in use.
func (vi *View) Members() *Members { return vi.members.Load() }

// Revision returns the version of the row with the configuration, or 0 before the first.
func (vi *View) Revision() uint64 {
	if ro := vi.routes.Load(); ro != nil {
		return ro.Revision
	}
	return 0
}

// Wants reports whether a configuration with this row version is newer than the one in force
// and has not been refused. Refused versions do not end the search for others: one between
// that in force and a refused one may be valid.
func (vi *View) Wants(revision uint64) bool {
	if revision <= vi.Revision() {
		return false
	}
	vi.mu.Lock()
	defer vi.mu.Unlock()
	return !slices.Contains(vi.refused, revision)
}

// ConfigBytes returns the size of the row with the configuration, or 0 before the first.
func (vi *View) ConfigBytes() int {
	if ro := vi.routes.Load(); ro != nil {
		return ro.Bytes
	}
	return 0
}

// RecordStoreFailure records that the store is unreachable or slow at this moment.
func (vi *View) RecordStoreFailure() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.outage.Disturbed(vi.clk.Now())
}

// StoreFailed records that a call has failed with which the store was asked until a time.
func (vi *View) StoreFailed(asked time.Time) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.outage.Failed(asked, vi.clk.Now())
}

// StoreAnswered records an answer of the store at a version, before its rows are applied.
func (vi *View) StoreAnswered(version uint64, began time.Time) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.observe(version)
	vi.outage.Answered(version, began, vi.clk.Now())
}

// StoreTold records that a peer has read the store at a version, as of a time.
func (vi *View) StoreTold(version uint64, asOf time.Time) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.observe(version)
	vi.outage.Told(version, asOf, vi.clk.Now())
}

// Apply applies changes of rows that are newer than the known ones and returns
// those that changed the view. Source is for logs.
func (vi *View) Apply(changes []citronstream.Change, source string) []citronstream.Change {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	return vi.apply(changes, source)
}

func (vi *View) apply(changes []citronstream.Change, source string) []citronstream.Change {
	for _, ch := range changes {
		vi.observe(ch.Version)
	}
	var applied []citronstream.Change
	// Evacuations come first: requests are accepted from the first configuration on.
	for _, ch := range changes {
		if vi.isEvacuation(ch.Key) && vi.applyEvacuation(ch, source) {
			applied = append(applied, ch)
		}
	}
	if len(applied) > 0 {
		vi.publish()
	}
	members := false
	for _, ch := range changes {
		switch {
		case ch.Key == vi.decode.ConfigKey:
			if vi.applyConfig(ch, source) {
				applied = append(applied, ch)
			}
		case vi.isEvacuation(ch.Key):
		case !strings.HasPrefix(ch.Key, vi.decode.MemberPrefix):
		case vi.applyMember(ch, source):
			members = true
			if rec := vi.rows[ch.Key]; !rec.inGrace {
				applied = append(applied, rec.Change)
			}
		}
	}
	if members {
		vi.publish()
	}
	if len(applied) > 0 {
		vi.onChange(applied, source)
	}
	return applied
}

// Replace applies a complete table as of a version and returns the changes. Upstreams of
// this table without a row have been removed, and the evacuations of zones have ended. Of
// those that are not known yet this is recorded too: a peer may tell an older row later.
func (vi *View) Replace(table string, rows []citronstream.Row, version uint64, source string) []citronstream.Change {
	changes := make([]citronstream.Change, 0, len(rows))
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		changes = append(changes, citronstream.Change{Row: row})
		present[row.Key] = true
	}
	vi.mu.Lock()
	isMembers := vi.decode.MemberPrefix == table+"/"
	if isMembers {
		for key, rec := range vi.rows {
			if !present[key] && !rec.Deleted && rec.Version <= version {
				changes = append(changes, citronstream.Change{Row: citronstream.Row{Key: key, Version: version}, Deleted: true})
			}
		}
	}
	settled := vi.settled
	if isMembers && version >= settled {
		vi.settled = 0 // the rows of a newer read are the proof themselves
	}
	applied := vi.apply(changes, source)
	if isMembers {
		vi.settled = max(settled, version)
	}
	vi.mu.Unlock()
	if strings.HasPrefix(vi.decode.EvacuationPrefix, table+"/") {
		evacuated := make(map[string]uint64)
		for _, row := range rows {
			if vi.isEvacuation(row.Key) {
				evacuated[strings.TrimPrefix(row.Key, vi.decode.EvacuationPrefix)] = row.Version
			}
		}
		applied = append(applied, vi.ReplaceEvacuated(evacuated, version, source)...)
	}
	return applied
}

// Settled reports whether no upstream of these changes is in its grace period, in
// which only this process keeps what the store has removed.
func (vi *View) Settled(changes []citronstream.Change) bool {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for _, ch := range changes {
		if rec := vi.rows[ch.Key]; rec != nil && rec.inGrace {
			return false
		}
	}
	return true
}

// Unconfirmed returns the number of upstreams in their grace period.
func (vi *View) Unconfirmed() (count int) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for _, rec := range vi.rows {
		if rec.inGrace {
			count++
		}
	}
	return count
}

// Leaves records that an upstream has said in a response that it leaves: nd, or the newest one
// at its address if that has refused the request as one for another upstream.
func (vi *View) Leaves(nd *node.Node, misdirected bool) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	if at := vi.Members().At(nd.Address); misdirected && len(at) > 0 {
		nd = at[0]
	}
	if vi.reports.Leaves(nd.ID, nd.StartedMs) {
		vi.log.Info("upstream says that it leaves", "upstream", nd.ID, "service", nd.Service, "address", nd.Address, "born", nd.StartedMs)
		vi.publish()
	}
}

func (vi *View) leaving(nd *node.Node) bool { return vi.reports.Leaving(nd.ID, nd.StartedMs) }

// Pauses records that an upstream has asked for a pause.
func (vi *View) Pauses(nd *node.Node, pause time.Duration) {
	if nd.Self.Pause(pause, vi.clk.Now()) {
		until, _ := nd.Self.Paused(vi.clk.Now())
		vi.log.Info("upstream asks for a pause", "upstream", nd.ID, "service", nd.Service, "address", nd.Address, "pause", until.Sub(vi.clk.Now()).String())
	}
}

// SelfReports returns the number of upstreams that have said that they leave, and of those in
// a pause that they have asked for.
func (vi *View) SelfReports() (leaving, paused int) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	return vi.reports.Counts(vi.clk.Now())
}

// Trim returns changes that were applied, without the values of malformed rows.
func (vi *View) Trim(changes []citronstream.Change) []citronstream.Change {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	trimmed := slices.Clone(changes)
	for i, ch := range trimmed {
		if rec := vi.rows[ch.Key]; rec != nil && rec.Version == ch.Version {
			trimmed[i].Value = rec.Value
		}
	}
	return trimmed
}

// State returns what a peer asks for: the evacuations of zones, the configuration, if its
// own is older, and all other rows unless it wants only the configuration.
func (vi *View) State(qu citronstream.StateQuery) []citronstream.Change {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	all := make([]citronstream.Change, 0, len(vi.rows)+1)
	for _, row := range vi.zones.Rows() {
		all = append(all, citronstream.Change{Row: citronstream.Row{Key: vi.decode.EvacuationPrefix + row.Zone, Version: row.Version}, Deleted: !row.Evacuated})
	}
	if vi.config.Version > qu.Revision {
		all = append(all, citronstream.Change{Row: vi.config})
	}
	if qu.ConfigOnly {
		return all
	}
	for _, rec := range vi.rows {
		if !rec.inGrace {
			all = append(all, rec.Change)
		}
	}
	return all
}

// Sweep removes upstreams whose grace period has passed, and old tombstones.
func (vi *View) Sweep() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	now := vi.clk.Now()
	var applied []citronstream.Change
	for key, rec := range vi.rows {
		switch {
		case rec.inGrace && vi.outage.Over(now):
			rec.inGrace = false
			applied = append(applied, rec.Change)
			vi.log.Info("upstream gone", "upstream", rec.node.ID, "service", rec.node.Service, "reason", "row not written again", "revision", citronstream.FormatVersion(rec.Version))
			rec.node = nil
		case rec.Deleted && !rec.inGrace && now.Sub(rec.removed) > tombstoneTTL:
			delete(vi.rows, key)
			vi.settled = max(vi.settled, rec.Version) // a row that is in use was written since
		}
	}
	if len(applied) > 0 {
		vi.publish()
		vi.onChange(applied, SourceExpiry)
	}
	vi.takeBackMissing(now)
}

func (vi *View) applyConfig(ch citronstream.Change, source string) bool {
	if ch.Deleted || ch.Version <= vi.config.Version || slices.Contains(vi.refused, ch.Version) {
		return false
	}
	routing, err := vi.decode.Routing(ch.Value)
	if err != nil {
		vi.refuse(ch.Version)
		vi.log.Error(err, "configuration refused", "revision", citronstream.FormatVersion(ch.Version), "source", source, "in force", citronstream.FormatVersion(vi.Revision()))
		return false
	}
	if old := vi.routes.Load(); old != nil && routing.Version < old.Version {
		vi.refuse(ch.Version)
		vi.log.Info("configuration refused", "reason", "older version", "version", routing.Version, "in force", old.Version, "source", source)
		return false
	}
	vi.config = ch.Row
	vi.routes.Store(newRoutes(routing, ch.Version, len(ch.Value)))
	vi.log.Info("configuration in force", "version", routing.Version, "revision", citronstream.FormatVersion(ch.Version), "source", source, "routes", len(routing.Routes))
	return true
}

func (vi *View) refuse(version uint64) {
	vi.refused = append(vi.refused, version)
	vi.refused = vi.refused[max(0, len(vi.refused)-maxRefused):]
}

// applyMember reports whether the set of upstreams in use changed.
func (vi *View) applyMember(ch citronstream.Change, source string) bool {
	old := vi.rows[ch.Key]
	if old != nil && ch.Version <= old.Version || old == nil && ch.Version <= vi.settled {
		return false
	}
	now := vi.clk.Now()
	if ch.Deleted {
		rec := &record{Change: ch, removed: now}
		vi.rows[ch.Key] = rec
		if old == nil {
			return false
		}
		rec.started, rec.sequence = old.started, old.sequence
		if old.node == nil {
			return false
		}
		// A draining node gets no grace period, because it is leaving.
		if !old.node.Draining && !vi.leaving(old.node) && (old.inGrace || vi.outage.MayHaveExpired(old.Version, now)) {
			rec.node, rec.inGrace = old.node, true
			vi.log.Info("upstream row expired, grace period started", "upstream", old.node.ID, "service", old.node.Service, "source", source, "revision", citronstream.FormatVersion(ch.Version))
			return false
		}
		vi.log.Info("upstream gone", "upstream", old.node.ID, "service", old.node.Service, "reason", "row removed", "source", source, "revision", citronstream.FormatVersion(ch.Version))
		return true
	}
	member, err := vi.decode.Member(ch.Row)
	if err == nil && old != nil && old.supersedes(member, ch.Version) {
		vi.keepState(old, ch, source)
		return false
	}
	rec := &record{Change: ch, started: member.StartedMs, sequence: member.Sequence}
	vi.rows[ch.Key] = rec
	if err != nil {
		rec.Value = nil // it can have 64 kB, and peers need only know its version
		vi.log.Info("row of an upstream malformed", "key", ch.Key, "reason", err.Error(), "source", source, "revision", citronstream.FormatVersion(ch.Version))
		return old != nil && old.node != nil
	}
	vi.onRow(member)
	if old != nil && old.node != nil && old.node.Same(member) {
		if old.node.Draining == member.Draining && old.node.Slots == member.Slots && old.node.Zone == member.Zone {
			rec.node = old.node // a heartbeat
			return old.inGrace
		}
	}
	left := vi.reports.Leaving(member.ID, 0)
	self := vi.reports.Of(member.ID, member.StartedMs)
	if left && !self.Leaving() {
		vi.log.Info("upstream that left has started again", "upstream", member.ID, "service", member.Service, "born", member.StartedMs)
	}
	rec.node = node.New(member, node.WithClock(vi.clk))
	rec.node.Self = self
	vi.log.Info("upstream known", "upstream", member.ID, "service", member.Service, "address", member.Address, "zone", member.Zone,
		"draining", member.Draining, "source", source, "revision", citronstream.FormatVersion(ch.Version))
	return true
}

func (vi *View) publish() {
	nodes := make([]*node.Node, 0, len(vi.rows))
	for _, rec := range vi.rows {
		if rec.node != nil {
			nodes = append(nodes, rec.node)
		}
	}
	members := newMembers(nodes, slices.Sorted(maps.Keys(vi.zones.Evacuated())), vi.leaving)
	vi.members.Store(members)
	for _, onMembers := range vi.onMembers {
		onMembers(members)
	}
}
