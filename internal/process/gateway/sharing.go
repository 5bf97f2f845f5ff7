package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/fleet/readers"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/platform"
)

// Limits of what entries tell each other of the store.
const (
	// stateFetchDelay is how long a process waits to read a peer's newer
	// configuration from the store before it asks the peer.
	stateFetchDelay = 150 * time.Millisecond
	// maxPeerConfig is the largest configuration in bytes that entries get from each
	// other. It takes a link of 10 Mbit/s 50 ms; several ask one entry at a time.
	maxPeerConfig = 64 << 10
	// stateTimeout bounds the fetch of a peer's state, which may be a megabyte over a slow link.
	stateTimeout = 4 * time.Second
	// tellAfter is how long a process runs before it tells others what it has read
	// since its start. When all start at the same time, each of them reads all rows by
	// itself, and knows only then which few read for the others.
	tellAfter = 1500 * time.Millisecond
	// earlyPerTick is how many of these rows are told at each tick: a message waits in
	// memory for each slow link.
	earlyPerTick = 50
	// maxPendingRows bounds the queue of rows for peers. Peers notice dropped ones by
	// the versions of the next and read the store themselves.
	maxPendingRows = 1024
)

// readers chooses the entries that read the store for all.
func (ga *Gateway) readers() readers.Choice {
	peers := ga.mesh.Peers()
	live := make([]citronstream.PeerInfo, 0, len(peers))
	for _, pe := range peers {
		if pe.Up() {
			live = append(live, citronstream.PeerInfo{Zone: pe.Zone(), Address: pe.Address, Capacity: pe.Capacity()})
		}
	}
	return readers.New(citronstream.PeerInfo{Zone: ga.site.Zone, Address: ga.site.Peers, Capacity: ga.site.Cores * ga.site.LinkRate}, live)
}

// peerConnected tells a new peer the suspect parts and requests, asks for its own after the
// start of this process, and fetches the state of a peer
// that has a newer configuration, or of any peer while this process can't read the
// store or knows no upstream.
func (ga *Gateway) peerConnected(pe *mesh.Peer, li *link.Link) {
	if ga.ctx.Err() != nil {
		return
	}
	if pe.Greet(li) {
		if all := ga.suspects(); len(all.Suspects)+len(all.Contents) > 0 {
			_ = li.Notify(citronstream.MethodSuspectParts, all) // a failed link is reopened
		}
		if !ga.holds.Knows() {
			ga.askQuarantine(pe, li)
		}
	}
	withoutStore := ga.follower.StoreDown() || ga.view.Members().Len() == 0
	if !ga.view.Wants(pe.Revision()) && !withoutStore {
		return
	}
	// One fetch at a time: a state can take a slow link a whole second.
	if !ga.fetching.CompareAndSwap(false, true) {
		return
	}
	ga.runInBackground(func(ctx context.Context) {
		if withoutStore {
			ga.fetchState(ctx, pe, li, citronstream.StateQuery{Revision: ga.view.Revision()})
		} else {
			ga.fetchConfig(ctx)
		}
		ga.endFetch()
	})
}

// endFetch ends a fetch. A newer configuration that was announced meanwhile is fetched next.
func (ga *Gateway) endFetch() {
	ga.fetching.Store(false)
	if pe, li := ga.newestPeer(); pe != nil {
		ga.peerConnected(pe, li)
	}
}

// newestPeer returns a peer with a newer configuration that this process has not refused,
// nil if there is none: by chance, from the own zone if it has one, as all entries that
// do not read the store ask for a new configuration at the same time.
func (ga *Gateway) newestPeer() (*mesh.Peer, *link.Link) {
	var near, far []*mesh.Peer
	for _, pe := range ga.mesh.Peers() {
		switch {
		case pe.Link() == nil || !ga.view.Wants(pe.Revision()):
		case pe.Zone() == ga.site.Zone:
			near = append(near, pe)
		default:
			far = append(far, pe)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil, nil
	}
	pe := near[rand.IntN(len(near))]
	return pe, pe.Link()
}

// fetchConfig fetches the configuration from a peer unless the store delivers it
// first. Entries that do not read the store ask at different times; a large one
// they read there all the same, as the links between entries are slow.
func (ga *Gateway) fetchConfig(ctx context.Context) {
	delay := stateFetchDelay
	pe, _ := ga.newestPeer()
	switch {
	case pe == nil:
		return
	case pe.ConfigBytes() > maxPeerConfig:
		if !ga.readers().Self {
			ga.follower.Refresh(platform.TableConfig)
		}
		delay += 2 * ga.transferTime(pe.ConfigBytes())
	case !ga.readers().Self:
		delay = rand.N(stateFetchDelay)
	}
	timer := ga.clk.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.Chan():
	}
	if pe, li := ga.newestPeer(); pe != nil && li != nil {
		ga.fetchState(ctx, pe, li, citronstream.StateQuery{Revision: ga.view.Revision(), ConfigOnly: true})
	}
}

// storeSilent asks a peer for what the store may have told on a connection that has gone
// silent: one with a newer configuration, or any one of the own zone first.
func (ga *Gateway) storeSilent() {
	pe, li := ga.newestPeer()
	if pe == nil {
		pe, li = ga.anyPeer()
	}
	if ga.ctx.Err() != nil || pe == nil || li == nil || !ga.fetching.CompareAndSwap(false, true) {
		return
	}
	ga.runInBackground(func(ctx context.Context) {
		ga.fetchState(ctx, pe, li, citronstream.StateQuery{Revision: ga.view.Revision()})
		ga.endFetch()
	})
}

// anyPeer returns a linked peer by chance, from the own zone if it has one.
func (ga *Gateway) anyPeer() (*mesh.Peer, *link.Link) {
	var chosen *mesh.Peer
	peers := slices.Clone(ga.mesh.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, pe := range peers {
		if pe.Up() && (chosen == nil || pe.Zone() == ga.site.Zone && chosen.Zone() != ga.site.Zone) {
			chosen = pe
		}
	}
	if chosen == nil {
		return nil, nil
	}
	return chosen, chosen.Link()
}

// transferTime returns how long this instance's link takes for some bytes.
func (ga *Gateway) transferTime(bytes int) time.Duration {
	if ga.site.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / 1e6 / ga.site.LinkRate * float64(time.Second))
}

// fetchState fetches rows from a peer and applies them.
func (ga *Gateway) fetchState(ctx context.Context, pe *mesh.Peer, li *link.Link, qu citronstream.StateQuery) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var rows citronstream.Rows
	if err := li.CallAs(ctx, stateClass(qu), citronstream.MethodState, qu, &rows); err != nil {
		ga.log.Info("failed to fetch state from peer", "peer", pe.Name(), "reason", err.Error())
		return
	}
	ga.view.Apply(rows.Changes, pe.Name())
}

// stateClass returns the class of a query and its answer: a configuration is awaited, all rows
// may take a slow link a second.
func stateClass(qu citronstream.StateQuery) link.Class {
	if qu.ConfigOnly {
		return link.First
	}
	return link.Ordinary
}

// viewChanged wakes the announcement of a configuration, and queues upstreams
// whose grace period has ended for the peers. What was read is queued by storeRead.
func (ga *Gateway) viewChanged(changes []citronstream.Change, source string) {
	if source != view.SourceExpiry {
		changes = nil
	}
	ga.queueRows(citronstream.Rows{Changes: changes})
}

// storeRead queues what was read from the store for the peers. Those that do not
// read it are told of each read, as its changes being none is news as well.
func (ga *Gateway) storeRead(changes []citronstream.Change, re *citronstream.Reading) {
	if re != nil && re.Table == platform.TableConfig {
		re.After, re.Revision, re.Evacuated = 0, ga.view.Revision(), ga.view.Evacuated()
	}
	if re != nil || len(changes) > 0 {
		ga.queueRows(citronstream.Rows{Changes: changes, Reading: re})
	}
}

// queueRows queues rows for the peers. Without rows a new configuration is announced.
func (ga *Gateway) queueRows(rows citronstream.Rows) {
	if ga.clk.Since(ga.began) < tellAfter {
		ga.early.add(rows.Changes)
		rows = citronstream.Rows{}
	}
	select {
	case ga.pendingRows <- rows:
	default:
	}
}

// broadcastRows sends rows to the peers and applies the limits of a new configuration.
func (ga *Gateway) broadcastRows(ctx context.Context) {
	announced := uint64(0)
	for {
		var rows citronstream.Rows
		select {
		case <-ctx.Done():
			return
		case rows = <-ga.pendingRows:
		}
		if routes := ga.view.Routes(); routes != nil && routes.Revision > announced {
			announced = routes.Revision
			ga.callerServer.Configure(routes.Limits)
			ga.announceConfig()
		}
		rows.Changes = slices.DeleteFunc(rows.Changes, func(ch citronstream.Change) bool { return ch.Key == platform.ConfigKey })
		switch {
		case rows.Reading != nil && rows.Reading.Table == platform.TableConfig:
			ga.mesh.BroadcastFirst(citronstream.MethodRows, rows) // with the evacuations
		case len(rows.Changes) > 0 || rows.Reading != nil:
			ga.mesh.Broadcast(citronstream.MethodRows, rows)
		}
	}
}

// announceConfig tells the peers which configuration is in force here: all of
// them, if this process reads the store, else those of its zone.
func (ga *Gateway) announceConfig() {
	all := ga.readers().Self
	ga.mesh.Tell(citronstream.MethodPeerUpdate, ga.peerInfo(), func(pe *mesh.Peer) bool { return all || pe.Zone() == ga.site.Zone })
}

// heardRows applies rows that a peer has read.
func (ga *Gateway) heardRows(from string, rows citronstream.Rows) {
	ga.view.Apply(rows.Changes, from)
	if re := rows.Reading; re != nil && re.Evacuated != nil {
		ga.view.ReplaceEvacuated(re.Evacuated, re.Version, from)
	}
	// A configuration that this process does not have is fetched when its peer announces it,
	// unless it was refused here.
	if re := rows.Reading; re != nil && !ga.view.Wants(re.Revision) {
		ga.follower.Heard(*re)
	}
}

// earlyRows are the newest changes that a process has read in its first seconds.
type earlyRows struct {
	mu     sync.Mutex
	newest map[string]citronstream.Change
}

func (er *earlyRows) add(changes []citronstream.Change) {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.newest == nil {
		er.newest = make(map[string]citronstream.Change)
	}
	for _, ch := range changes {
		if ch.Version >= er.newest[ch.Key].Version {
			er.newest[ch.Key] = ch
		}
	}
}

// take returns some of the changes and forgets them.
func (er *earlyRows) take(most int) []citronstream.Change {
	er.mu.Lock()
	defer er.mu.Unlock()
	var changes []citronstream.Change
	for key, ch := range er.newest {
		if len(changes) == most {
			break
		}
		changes = append(changes, ch)
		delete(er.newest, key)
	}
	return changes
}

// tellEarlyRows tells the peers of the zone once what this process has read in its
// first seconds, if it reads for them: one that the store turns away has no other way
// to know. Each zone has a reader.
func (ga *Gateway) tellEarlyRows() {
	changes := ga.early.take(earlyPerTick)
	if len(changes) > 0 && ga.readers().Self {
		ga.mesh.Tell(citronstream.MethodRows, citronstream.Rows{Changes: changes}, func(pe *mesh.Peer) bool { return pe.Zone() == ga.site.Zone })
	}
}
