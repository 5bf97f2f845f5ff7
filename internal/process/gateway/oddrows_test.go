package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// oddRows returns values of rows that name no upstream to use, by kind. Where they
// have an address that can be reached, it is that of the trap.
func oddRows(trap *site.Upstream) map[string]string {
	address := trap.Address()
	deep := strings.Repeat("[", 40000) + strings.Repeat("]", 40000)
	const form = `{"service":"desk","address":%q,"zone":"z","slots":%s,"state":"ready","born":%s}`
	return map[string]string{
		"bytes":           "\xff\xfe\x00",
		"deep":            deep,
		"deep-field":      fmt.Sprintf(form, address, deep, "1"),
		"deep-other":      strings.TrimSuffix(trap.Row(site.Ready), "}") + `,"other":` + deep + `}`,
		"slots-overflow":  fmt.Sprintf(form, address, "1e999", "1"),
		"slots-long":      fmt.Sprintf(form, address, strings.Repeat("9", 60000), "1"),
		"slots-none":      fmt.Sprintf(form, address, "0", "1"),
		"slots-negative":  fmt.Sprintf(form, address, "-4", "1"),
		"slots-null":      fmt.Sprintf(form, address, "null", "1"),
		"born-overflow":   fmt.Sprintf(form, address, "4", "9223372036854775808"),
		"born-null":       fmt.Sprintf(form, address, "4", "null"),
		"port-overflow":   fmt.Sprintf(form, "127.0.0.1:65536", "4", "1"),
		"port-large":      fmt.Sprintf(form, "127.0.0.1:99999", "4", "1"),
		"port-zero":       fmt.Sprintf(form, "127.0.0.1:0", "4", "1"),
		"port-negative":   fmt.Sprintf(form, "127.0.0.1:-1", "4", "1"),
		"port-none":       fmt.Sprintf(form, "127.0.0.1", "4", "1"),
		"port-twice":      fmt.Sprintf(form, address+":1", "4", "1"),
		"port-name":       fmt.Sprintf(form, "127.0.0.1:http", "4", "1"),
		"host-none":       fmt.Sprintf(form, ":80", "4", "1"),
		"host-name":       fmt.Sprintf(form, strings.Replace(address, "127.0.0.1", "localhost", 1), "4", "1"),
		"host-any":        fmt.Sprintf(form, strings.Replace(address, "127.0.0.1", "0.0.0.0", 1), "4", "1"),
		"text":            "{\"service\":\"desk\",\"address\":\"" + address + "\",\"zone\":\"\xff\",\"slots\":4,\"state\":\"ready\",\"born\":1}",
		"state-long":      `{"service":"desk","address":"` + address + `","zone":"z","slots":4,"born":1,"state":"` + strings.Repeat("x", 60000) + `"}`,
		"twice":           `{"service":"desk","service":"desk",` + strings.TrimPrefix(trap.Row(site.Ready), "{"),
		"key with spaces": trap.Row(site.Ready),
	}
}

// writeOddRows writes a new version of each odd row, among them rows of a part of the
// table with the keys of sound upstreams, and a row of the operator's table.
func (ts *testSite) writeOddRows(trap *site.Upstream) {
	for kind, value := range oddRows(trap) {
		ts.st.Put("servers", kind, value)
	}
	for id := range ts.upstreams {
		ts.st.PutIn("servers", "other", id, "?")
	}
	ts.st.PutIn("servers", "other", "part", trap.Row(site.Ready))
	ts.st.Put("op", "note", trap.Row(site.Ready))
}

// assertMembers checks that an entry uses these upstreams and no others.
func (ts *testSite) assertMembers(en *testEntry, ids ...string) {
	ts.t.Helper()
	var have []string
	used := func() bool {
		have = have[:0]
		for _, nd := range en.view.Members().Service("desk") {
			have = append(have, nd.ID)
		}
		return slices.Equal(have, ids) && en.view.Members().Len() == len(ids)
	}
	if !assert.Eventually(ts.t, used, testTimeout, pollInterval) {
		require.Equal(ts.t, ids, have, "upstreams in use")
	}
}

// assertServed sends requests that may try one upstream only.
func (ts *testSite) assertServed(en *testEntry) {
	ts.t.Helper()
	for range 30 {
		res, _ := ts.roundTrip(en, ts.call(), http.MethodGet, "/open/", "")
		ts.assertStatus(http.StatusOK, res)
	}
}

// Guards against an entry that ends, stops following the store, or uses an upstream
// that it should not, because of rows of another writer.
func TestOddRows(t *testing.T) {
	for name, entries := range map[string]int{"one entry": 1, "readers and listeners": 6} {
		t.Run(name, func(t *testing.T) { checkOddRows(t, entries) })
	}
}

func checkOddRows(t *testing.T, entries int) {
	ts := newTestSite(t, 0)
	trap := site.NewUpstream(ts.clk, ts.log, "trap", "desk")
	t.Cleanup(trap.Close)
	one := ts.upstream("d1", "desk")
	two := ts.upstream("d2", "desk")
	ts.writeOddRows(trap)
	for range entries {
		ts.startEntry()
	}
	all := func(check func(en *testEntry)) {
		for _, en := range ts.entries {
			check(en)
		}
	}
	all(func(en *testEntry) { ts.assertMembers(en, "d1", "d2") })
	ts.waitReady()
	all(ts.assertServed)

	ts.writeOddRows(trap)
	ts.st.Unlist(two)
	ts.upstream("d3", "desk")
	all(func(en *testEntry) { ts.assertMembers(en, "d1", "d3") })
	all(ts.assertServed)

	ts.st.Put("servers", "d3", oddRows(trap)["port-large"])
	all(func(en *testEntry) { ts.assertMembers(en, "d1") })
	all(ts.assertServed)
	ts.st.List(ts.upstreams["d3"], site.Ready)
	ts.configure(9, "")
	all(func(en *testEntry) { ts.assertMembers(en, "d1", "d3") })

	ts.writeOddRows(trap)
	ts.st.Forget()
	ts.st.List(one, site.Draining)
	all(func(en *testEntry) {
		ts.waitFor(func() bool { return en.view.Routes().Version == 9 && len(en.view.Members().Service("desk")) == 1 }, "a change is not learned")
	})
	all(ts.assertServed)
	for _, ar := range ts.log.All() {
		assert.NotEqual(t, "trap", ar.Upstream, "a request was sent to the upstream of an odd row")
	}
}

// Guards against an entry that stops following the list because the changes since its
// last read exceed what it takes of an answer.
func TestLargeChanges(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	en.door.Fault(site.Refuses)
	ts.waitFor(func() bool { return en.follower.StoreDown() }, "the fault was not detected")
	ts.writeLargeOddRows()
	ts.upstream("d2", "desk")
	en.door.Fault(site.Sound)
	ts.assertMembers(en, "d1", "d2")
}

// writeLargeOddRows writes rows of the greatest size, more than fit in a message.
func (ts *testSite) writeLargeOddRows() {
	for i := range 170 {
		ts.st.Put("servers", fmt.Sprintf("large-%d", i), strings.Repeat("x", 60000))
	}
}

// Guards against a state that is too large to be sent: an entry that the store turns
// away would never learn of the upstreams.
func TestStateWithLargeRows(t *testing.T) {
	ts := newTestSite(t, 0)
	ts.writeLargeOddRows()
	ts.upstream("d1", "desk")
	ts.startEntry()
	ts.waitReady()
	door := ts.st.Open()
	door.Fault(site.Refuses)
	isolated := ts.startEntryAt(door, 0, 0)
	isolated.mesh.AddPeer(ts.entries[0].site.Peers, "z")
	ts.assertMembers(isolated, "d1")
}

// Guards against results that stay at their upstream, and connections that are closed
// after each request, because a row of a service that nobody uses has its address.
func TestOddServiceAtAnAddress(t *testing.T) {
	ts := newTestSite(t, 1)
	_, cut, glue := ts.addStageUpstreams()
	desk := ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	idle := en.maxIdleConns(desk.Address())
	const born = 253402300799999 // the last time that a row can have
	for id, up := range map[string]*site.Upstream{"odd-1": cut, "odd-2": glue, "odd-3": desk} {
		ts.st.Put("servers", id, fmt.Sprintf(`{"service":"nobody","address":%q,"zone":"z","slots":4,"state":"ready","born":%d}`, up.Address(), born))
		ts.waitFor(func() bool { return en.view.Members().Node(id) != nil }, "the row is not learned")
	}
	assert.Equal(t, idle, en.maxIdleConns(desk.Address()))
	res, _ := ts.roundTrip(en, ts.stagedCall(), http.MethodPost, "/staged/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	ts.waitFor(func() bool { return cut.Held() == 0 && glue.Held() == 0 }, "results are not released")
}

// Guards against requests that are cut off because the row of their upstream became odd
// meanwhile.
func TestRowBecomesOddDuringARequest(t *testing.T) {
	ts := newTestSite(t, 1)
	one := ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	one.Work.Store(int64(500 * time.Millisecond))
	var group sync.WaitGroup
	for _, target := range []string{"/order/", "/look/"} {
		ca := ts.call()
		group.Go(func() {
			res, body := ts.roundTrip(en, ca, http.MethodPost, target, "")
			assert.Equal(t, http.StatusOK, res.StatusCode, body)
			assert.Equal(t, 1, ts.executions(ca))
		})
	}
	ts.waitFor(func() bool { return len(ts.log.All()) == 2 }, "no request arrived")
	ts.st.Put("servers", "d1", oddRows(one)["slots-null"])
	ts.assertMembers(en)
	group.Wait()
	res, _ := ts.roundTrip(en, ts.call(), http.MethodPost, "/order/", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	ts.st.List(one, site.Ready)
	ts.assertMembers(en, "d1")
	res, _ = ts.roundTrip(en, ts.call(), http.MethodPost, "/order/", "")
	ts.assertStatus(http.StatusOK, res)
}
