package follow

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/readers"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

const (
	members = "servers"
	config  = "op"
	// drain is that of the smallest sites, and their time for a configuration; an
	// entry reads after half of it.
	drain  = 2 * time.Second
	maxAge = drain / 2
	// answerTime is how long the store takes, headTimeout when its client gives up a
	// call without an answer.
	answerTime  = 5 * time.Millisecond
	headTimeout = time.Second
)

// store is a store whose keys begin with their table.
type store struct {
	clk citronstream.Clock

	mu      sync.Mutex
	history []citronstream.Change
	forgot  int // changes that the history no longer has
	changed chan struct{}
}

func (st *store) put(key, value string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ch := citronstream.Change{Row: citronstream.Row{Key: key, Version: uint64(len(st.history) + 1), Value: []byte(value)}, Deleted: value == ""}
	st.history = append(st.history, ch)
	close(st.changed)
	st.changed = make(chan struct{})
}

// forget drops the history.
func (st *store) forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.forgot = len(st.history)
}

func (st *store) stamp() citronstream.Stamp {
	return citronstream.Stamp{Version: uint64(len(st.history)), Time: time.Duration(st.clk.Now().UnixNano())}
}

// Faults of a door.
const (
	sound int32 = iota
	refuses
	silent
)

// door is one entry's access to the store.
type door struct {
	st    *store
	calls atomic.Int32
	fault atomic.Int32
}

func (do *door) enter(ctx context.Context, limit time.Duration) error {
	do.calls.Add(1)
	switch do.fault.Load() {
	case refuses:
		do.st.clk.Sleep(answerTime)
		return citronstream.ErrUnavailable
	case silent:
		select {
		case <-ctx.Done():
		case <-do.st.clk.After(limit):
		}
		return citronstream.ErrUnavailable
	}
	do.st.clk.Sleep(answerTime)
	return nil
}

// Changes implements citronstream.Feed.
func (do *door) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]citronstream.Change, citronstream.Stamp, error) {
	if err := do.enter(ctx, wait+headTimeout); err != nil {
		return nil, citronstream.Stamp{}, err
	}
	timeout := do.st.clk.After(wait)
	for waiting := true; ; {
		do.st.mu.Lock()
		changed, at := do.st.changed, do.st.stamp()
		if int(after) < do.st.forgot {
			do.st.mu.Unlock()
			return nil, at, citronstream.ErrHistoryExpired
		}
		changes := inTable(do.st.history[after:], table)
		do.st.mu.Unlock()
		if len(changes) > 0 || !waiting {
			return changes, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, at, ctx.Err()
		case <-changed:
		case <-timeout:
			waiting = false
		}
	}
}

func inTable(changes []citronstream.Change, table string) (list []citronstream.Change) {
	for _, ch := range changes {
		if strings.HasPrefix(ch.Key, table+"/") {
			list = append(list, ch)
		}
	}
	return list
}

// Scan implements citronstream.Feed.
func (do *door) Scan(ctx context.Context, table string) ([]citronstream.Row, citronstream.Stamp, error) {
	if err := do.enter(ctx, headTimeout); err != nil {
		return nil, citronstream.Stamp{}, err
	}
	do.st.mu.Lock()
	defer do.st.mu.Unlock()
	newest := make(map[string]citronstream.Change)
	for _, ch := range inTable(do.st.history, table) {
		newest[ch.Key] = ch
	}
	var rows []citronstream.Row
	for _, ch := range newest {
		if !ch.Deleted {
			rows = append(rows, ch.Row)
		}
	}
	return rows, do.st.stamp(), nil
}

// entry is a process with a follower and a view.
type entry struct {
	*door
	name     string
	follower *Follower
	view     *view.View
	reader   bool
	choice   func() readers.Choice
	lost     atomic.Bool // killed
}

// fleet is a set of entries that tell each other what they read.
type fleet struct {
	t       *testing.T
	clk     citronstream.Clock
	st      *store
	entries []*entry
	running sync.WaitGroup
	// held says that messages from r0 to l0 are held up.
	held atomic.Bool
	// longest is the size of the largest value that was told.
	longest atomic.Int64
}

type message struct {
	at      time.Time
	changes []citronstream.Change
	re      *citronstream.Reading
}

func member(row citronstream.Row) (citronstream.Member, error) {
	if state := string(row.Value); state != "ready" && state != "draining" {
		return citronstream.Member{}, fmt.Errorf("unknown state %.20q", state)
	}
	return citronstream.Member{ID: strings.TrimPrefix(row.Key, members+"/"), Service: "s", Address: row.Key, Draining: string(row.Value) == "draining"}, nil
}

func routing(value []byte) (*citronstream.Routing, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	return &citronstream.Routing{Version: version}, err
}

// inFleet runs a test with readers r0, r1.. and listeners l0, l1.. in a bubble
// with fake time.
func inFleet(t *testing.T, readerCount, listenerCount int, test func(fl *fleet)) {
	inFleetWithAge(t, maxAge, readerCount, listenerCount, test)
}

// inFleetWithAge does the same with another greatest age of copies.
func inFleetWithAge(t *testing.T, maxAge time.Duration, readerCount, listenerCount int, test func(fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		clk := clockwork.NewRealClock()
		fl := &fleet{t: t, clk: clk, st: &store{clk: clk, changed: make(chan struct{})}}
		for i := range 4 {
			fl.st.put(fmt.Sprint("servers/up-", i), "ready")
		}
		fl.st.put("op/config", "1")
		ctx, cancel := context.WithCancel(t.Context())
		for i := range readerCount + listenerCount {
			en := &entry{name: fmt.Sprint("r", i), reader: i < readerCount, door: &door{st: fl.st}}
			if !en.reader {
				en.name = fmt.Sprint("l", i-readerCount)
			}
			fl.entries = append(fl.entries, en)
		}
		for _, en := range fl.entries {
			fl.create(ctx, en, readerCount)
		}
		for _, en := range fl.entries {
			fl.running.Go(func() { en.follower.Run(ctx, MemberTable(members, en.choice, maxAge)) })
			fl.running.Go(func() { en.follower.Run(ctx, ConfigTable(config, maxAge)) })
			clk.Sleep(37 * time.Millisecond)
		}
		clk.Sleep(2 * maxAge)
		synctest.Wait()
		test(fl)
		cancel()
		fl.running.Wait()
	})
}

func (fl *fleet) create(ctx context.Context, en *entry, readerCount int) {
	en.choice = func() readers.Choice { return readers.Choice{Self: en.reader, Count: readerCount, Listeners: true} }
	en.view = view.New(fl.clk, logr.Discard(), view.Decode{Member: member, Routing: routing, ConfigKey: "op/config"})
	links := make(map[*entry]chan message)
	for _, other := range fl.entries {
		if other != en {
			link := make(chan message, 100)
			links[other] = link
			fl.running.Go(func() { fl.deliver(ctx, link, other) })
		}
	}
	onRead := func(changes []citronstream.Change, re *citronstream.Reading) {
		for _, ch := range changes {
			fl.longest.Store(max(fl.longest.Load(), int64(len(ch.Value))))
		}
		for other, link := range links {
			at := fl.clk.Now().Add(time.Millisecond)
			if fl.held.Load() && en.name == "r0" && other.name == "l0" {
				at = at.Add(time.Hour)
			}
			link <- message{at, changes, re}
		}
	}
	en.follower = New(fl.clk, logr.Discard(), en.door, en.view, WithReaders(en.choice), WithOnRead(onRead))
}

func (fl *fleet) deliver(ctx context.Context, link <-chan message, to *entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case me := <-link:
			select {
			case <-ctx.Done():
				return
			case <-fl.clk.After(me.at.Sub(fl.clk.Now())):
			}
			if to.lost.Load() {
				continue
			}
			to.view.Apply(me.changes, "peer")
			if me.re != nil {
				to.follower.Heard(*me.re)
			}
		}
	}
}

// each calls a function for the entries whose names begin so.
func (fl *fleet) each(prefix string, visit func(en *entry)) {
	for _, en := range fl.entries {
		if strings.HasPrefix(en.name, prefix) && !en.lost.Load() {
			visit(en)
		}
	}
}

// assertNoticed asserts that all entries stop using an upstream within the drain
// time of its leaving.
func (fl *fleet) assertNoticed(upstream string) {
	fl.t.Helper()
	fl.clk.Sleep(drain)
	synctest.Wait()
	fl.each("", func(en *entry) {
		for _, nd := range en.view.Members().Service("s") {
			assert.NotEqual(fl.t, upstream, nd.ID, en.name)
		}
	})
}

// Entries that leave the store to readers make no calls and still hear of all changes.
func TestListenersMakeNoCalls(t *testing.T) {
	inFleet(t, 3, 3, func(fl *fleet) {
		calls := int32(0)
		fl.each("l", func(en *entry) { calls -= en.calls.Load() })
		fl.clk.Sleep(time.Minute)
		fl.st.put("servers/up-1", "draining")
		fl.assertNoticed("up-1")
		fl.st.put("servers/up-2", "")
		fl.st.put("op/config", "2")
		fl.assertNoticed("up-2")
		fl.each("", func(en *entry) { assert.Equal(t, uint64(2), en.view.Routes().Version, en.name) })
		fl.each("l", func(en *entry) { calls += en.calls.Load() })
		assert.Zero(t, calls)
	})
}

// Guards against large rows of another writer that readers send to all others.
func TestMalformedRowsAreToldWithoutValue(t *testing.T) {
	const large = 60000
	inFleet(t, 3, 3, func(fl *fleet) {
		fl.st.put("servers/odd", strings.Repeat("x", large))
		fl.clk.Sleep(drain)
		synctest.Wait()
		assert.Less(t, fl.longest.Load(), int64(large))
		fl.each("", func(en *entry) { assert.Equal(t, 4, en.view.Members().Len(), en.name) })
		fl.st.put("servers/up-1", "")
		fl.assertNoticed("up-1")
	})
}

// When the readers can't reach the store, or are gone, the others read it themselves.
func TestReadersFail(t *testing.T) {
	for name, fail := range map[string]func(en *entry){
		"refused": func(en *entry) { en.fault.Store(refuses) },
		"silent":  func(en *entry) { en.fault.Store(silent) },
		"killed":  func(en *entry) { en.fault.Store(silent); en.lost.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 3, 3, func(fl *fleet) {
				fl.each("r", fail)
				fl.st.put("servers/up-1", "draining")
				fl.st.put("op/config", "2")
				fl.clk.Sleep(drain)
				synctest.Wait()
				fl.each("l", func(en *entry) {
					assert.Len(t, en.view.Members().Service("s"), 3, en.name)
					assert.Equal(t, uint64(2), en.view.Routes().Version, en.name)
				})
			})
		})
	}
}

// A reader that the store turns away for a moment hears of a change from another
// one. When it reads again, it must not claim that it has told all changes: the
// other one's message to a third entry may be held up or lost.
func TestChangeHeardFromAReader(t *testing.T) {
	inFleet(t, 2, 1, func(fl *fleet) {
		turnedAway := fl.entries[1]
		turnedAway.fault.Store(refuses)
		fl.clk.Sleep(drain)
		fl.held.Store(true)
		fl.st.put("servers/up-1", "draining")
		fl.clk.Sleep(20 * time.Millisecond)
		turnedAway.fault.Store(sound)
		fl.assertNoticed("up-1")
	})
}

// A reader that lost its place in the history tells what it finds in a scan.
func TestHistoryExpires(t *testing.T) {
	inFleet(t, 1, 2, func(fl *fleet) {
		fl.each("", func(en *entry) { en.fault.Store(refuses) })
		fl.clk.Sleep(3 * time.Second)
		fl.st.put("servers/up-1", "draining")
		fl.st.forget()
		fl.each("r", func(en *entry) { en.fault.Store(sound) })
		fl.assertNoticed("up-1")
	})
}

// Guards against a process that starts while the store is silent and notices its return a
// second late, as its first read waits for an answer that never comes.
func TestStoreIsSilentAtTheStart(t *testing.T) {
	for _, away := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1700 * time.Millisecond} {
		inFleet(t, 1, 0, func(fl *fleet) {
			late := &entry{name: "late", reader: true, door: &door{st: fl.st}}
			late.fault.Store(silent)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fl.create(ctx, late, 1)
			fl.running.Go(func() { late.follower.Run(ctx, ConfigTable(config, maxAge)) })
			fl.clk.Sleep(away)
			late.fault.Store(sound)
			fl.clk.Sleep(300 * time.Millisecond)
			synctest.Wait()
			assert.NotNil(t, late.view.Routes(), "silent for %v", away)
			assert.LessOrEqual(t, late.calls.Load(), int32(away/(250*time.Millisecond)+4))
		})
	}
}

// While the store is away from all, hundreds of entries must not ask for it as often as
// the readers do, who tell them when it is back; and a row that lapsed meanwhile stays
// in use until its upstream can have written it again.
func TestStoreIsAwayFromAll(t *testing.T) {
	const away, age = 10 * time.Second, 2 * time.Second // of the largest site
	inFleetWithAge(t, age, 3, 10, func(fl *fleet) {
		calls := int32(0)
		fl.each("l", func(en *entry) { calls -= en.calls.Load() })
		fl.each("", func(en *entry) { en.fault.Store(refuses) })
		fl.clk.Sleep(away)
		fl.each("l", func(en *entry) { calls += en.calls.Load() })
		const tables = 2
		assert.LessOrEqual(t, calls, int32(10*tables*(away/age+4)))
		fl.st.put("servers/up-1", "")
		fl.each("", func(en *entry) { en.fault.Store(sound) })
		fl.clk.Sleep(time.Second)
		fl.st.put("servers/up-1", "ready")
		for range 20 {
			fl.each("", func(en *entry) { assert.Len(t, en.view.Members().Service("s"), 4, en.name) })
			fl.clk.Sleep(100 * time.Millisecond)
		}
	})
}
