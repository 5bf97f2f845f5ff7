package gateway

import (
	"fmt"
	"testing"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/require"
)

// restoreStore brings the store back from a copy while no entry reaches it, and makes some
// writes before they do. The store must have been written to since the copy was made.
func (ts *testSite) restoreStore(co *site.Copy, writes int) {
	ts.t.Helper()
	for _, en := range ts.entries {
		en.door.Fault(site.Refuses)
		ts.waitFor(func() bool { return en.follower.StoreDown() || !en.Gateway.readers().Self }, "the store is not missed")
	}
	ts.st.Restore(co)
	ts.writeOther(writes)
	for _, en := range ts.entries {
		en.door.Fault(site.Sound)
	}
}

// writeOther makes writes to another table, which raise the version of the store.
func (ts *testSite) writeOther(writes int) {
	for i := range writes {
		ts.st.Put("other", fmt.Sprint(i), "")
	}
}

func (ts *testSite) assertConfig(version uint64) {
	ts.t.Helper()
	for _, en := range ts.entries {
		ts.waitFor(func() bool { return en.view.Routes().Version == version }, fmt.Sprint("configuration ", version, " is not in force at ", en.site.Process))
	}
}

// restores are the states of the store's versions in which entries find it.
var restores = map[string]int{
	"versions go back":                       0,
	"the store has passed the old versions":  200,
	"versions are near those of the old era": 40,
}

// Guards against a configuration that is ignored for good as the store, back from an older
// copy, has given it a lower version than that in force.
func TestConfigAfterRestore(t *testing.T) {
	for name, writes := range restores {
		t.Run(name, func(t *testing.T) {
			ts, _ := newSiteWithListeners(t)
			for version := range 2 { // two restores in a row
				co := ts.st.Copy()
				ts.writeOther(40)
				ts.configure(10*version+7, "")
				ts.assertConfig(uint64(10*version + 7))
				ts.restoreStore(co, writes)
				ts.configure(10*version+7, "")
				ts.configure(10*version+9, "")
				ts.assertConfig(uint64(10*version + 9))
			}
		})
	}
}

// Guards against the removal of an upstream, told once, that is ignored for good after the
// store's return from an older copy.
func TestRemovalAfterRestore(t *testing.T) {
	for name, writes := range restores {
		t.Run(name, func(t *testing.T) {
			ts, one := newSiteWithListeners(t)
			co := ts.st.Copy()
			ts.writeOther(40)
			for _, up := range ts.upstreams {
				ts.st.List(up, site.Ready)
			}
			ts.restoreStore(co, writes)
			ts.st.Unlist(one)
			for _, en := range ts.entries {
				ts.waitFor(func() bool { return len(en.view.Members().Service("desk")) == 1 }, "an upstream that was removed is in use at "+en.site.Process)
			}
		})
	}
}

// Guards against an entry that the store turns away since its return from an older copy, and
// that ignores what its peers tell from there.
func TestPeersTellOfRestore(t *testing.T) {
	ts, one := newSiteWithListeners(t)
	co := ts.st.Copy()
	ts.writeOther(40)
	ts.configure(7, "")
	ts.assertConfig(7)
	readers, _ := ts.readersAndListeners()
	ts.restoreStore(co, 0)
	readers[0].door.Fault(site.Refuses)
	ts.configure(9, "")
	ts.st.Unlist(one)
	ts.assertConfig(9)
	ts.waitFor(func() bool { return len(readers[0].view.Members().Service("desk")) == 1 }, "a removal that peers tell is ignored")
}

// Guards against rows of this process that the store has lost and that are not written again.
func TestOwnRowsAfterRestore(t *testing.T) {
	ts := newTestSite(t, 0)
	ts.upstream("d1", "desk")
	co := ts.st.Copy()
	en := ts.startEntry()
	ts.waitReady()
	written := func() bool {
		return ts.st.Value("Entries", en.site.Process) != "" && ts.st.Value("Snapshots", "Upstreams") != ""
	}
	ts.waitFor(written, "the rows are not written")
	ts.st.Restore(co)
	require.False(t, written())
	ts.waitFor(written, "the rows are not written again")
}
