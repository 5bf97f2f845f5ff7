package gateway

import (
	"testing"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/require"
)

// readersAndListeners returns the entries that read the store for all, and the others.
func (ts *testSite) readersAndListeners() (readers, listeners []*testEntry) {
	for _, en := range ts.entries {
		switch {
		case en.stopped:
		case en.Gateway.readers().Self:
			readers = append(readers, en)
		default:
			listeners = append(listeners, en)
		}
	}
	return readers, listeners
}

// newSiteWithListeners returns a site in which some entries leave the store to others.
func newSiteWithListeners(t *testing.T) (ts *testSite, one *site.Upstream) {
	ts = newTestSite(t, 0)
	for range 6 {
		ts.startEntry()
	}
	one = ts.upstream("d1", "desk")
	ts.upstream("d2", "desk")
	ts.waitReady()
	return ts, one
}

// calls returns the number of calls to the store by some entries.
func calls(entries []*testEntry) (sum int) {
	for _, en := range entries {
		sum += en.door.Calls()
	}
	return sum
}

func (ts *testSite) assertDrainIsHeard(listeners []*testEntry, one *site.Upstream) {
	ts.t.Helper()
	ts.st.List(one, site.Draining)
	for _, en := range listeners {
		ts.waitFor(func() bool { return len(en.view.Members().Service("desk")) == 1 }, "a leaving upstream is not heard of")
	}
}

// Entries that leave the store to readers still hear of all changes. What readers
// tell over real links keeps their copies current: a span of twice the greatest age
// passes without a call. The package follow has the times, with a fake clock.
func TestListenersHear(t *testing.T) {
	ts, one := newSiteWithListeners(t)
	readers, listeners := ts.readersAndListeners()
	require.Len(t, readers, 3)
	require.Len(t, listeners, 3)
	ts.waitFor(func() bool {
		before := calls(listeners)
		ts.clk.Sleep(ts.bounds.Drain)
		return calls(listeners) == before
	}, "entries read the store though readers tell them")
	ts.assertDrainIsHeard(listeners, one)
	ts.configure(7, "")
	for _, en := range ts.entries {
		ts.waitFor(func() bool { return en.view.Routes().Version == 7 }, "a configuration is not heard of")
	}
}

// When the readers can't reach the store, or are gone, the others read it themselves.
func TestReadersFail(t *testing.T) {
	cases := map[string]func(en *testEntry){
		"store refuses the readers": func(en *testEntry) { en.door.Fault(site.Refuses) },
		"store is silent to the readers": func(en *testEntry) {
			en.door.Fault(site.Silent)
			en.door.CloseClientConnections()
		},
		"readers are killed": func(en *testEntry) { en.stop() },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			ts, one := newSiteWithListeners(t)
			readers, listeners := ts.readersAndListeners()
			for _, en := range readers {
				fail(en)
			}
			ts.assertDrainIsHeard(listeners, one)
			ts.configure(7, "")
			for _, en := range listeners {
				ts.waitFor(func() bool { return en.view.Routes().Version == 7 }, "a configuration is not heard of")
			}
		})
	}
}

// A reader that lost its place in the history tells what it finds in a scan.
func TestReadersHistoryExpires(t *testing.T) {
	ts, one := newSiteWithListeners(t)
	readers, listeners := ts.readersAndListeners()
	for _, en := range readers {
		en.door.Fault(site.Refuses)
		ts.waitFor(func() bool { return en.follower.StoreDown() }, "the fault was not detected")
	}
	for _, en := range listeners {
		en.door.Fault(site.Refuses)
	}
	ts.st.List(one, site.Draining)
	ts.st.Forget()
	for _, en := range readers {
		en.door.Fault(site.Sound)
	}
	for _, en := range listeners {
		ts.waitFor(func() bool { return len(en.view.Members().Service("desk")) == 1 }, "the change is not heard of")
	}
}
