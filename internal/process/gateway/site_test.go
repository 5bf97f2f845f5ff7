package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Limits of waits; no result depends on their length.
const (
	testTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// testBounds are the bounds of the smallest sites.
var testBounds = citronstream.Bounds{
	Drain: 2 * time.Second, ConfigApply: 2 * time.Second, Grace: 8 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 50,
}

// testSite is a site with stand-ins for its store and upstreams, and some entries.
type testSite struct {
	t         *testing.T
	clk       citronstream.Clock
	st        *site.Store
	log       *site.Log
	upstreams map[string]*site.Upstream
	entries   []*testEntry
	bounds    citronstream.Bounds
	client    *http.Client
	next      atomic.Int64
	zone      string // of the entries that are started from now on; empty means z
	regions   map[string]string
	// crashTarget is the target of requests with a prompt part that crashes engines.
	crashTarget string
	logger      logr.Logger // of the entries that are started from now on; the zero value drops all lines
}

// testEntry is a gateway under test.
type testEntry struct {
	*Gateway
	door    *site.Door
	stopped bool
}

func newTestSite(t *testing.T, entries int) *testSite {
	ts := &testSite{t: t, clk: clockwork.NewRealClock(), log: &site.Log{}, upstreams: make(map[string]*site.Upstream), crashTarget: "/draft/stream/"}
	ts.st, ts.bounds = site.NewStore(ts.clk), testBounds
	ts.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	ts.configure(1, "")
	for range entries {
		ts.startEntry()
	}
	t.Cleanup(func() {
		for _, en := range ts.entries {
			en.stop()
		}
		for _, up := range ts.upstreams {
			up.CloseClientConnections()
			up.Close()
		}
		ts.client.CloseIdleConnections()
	})
	return ts
}

func (ts *testSite) configure(version int, more string) {
	ts.st.Configure(version, more)
}

// upstream starts an upstream and registers it.
func (ts *testSite) upstream(id, service string) *site.Upstream {
	up := site.NewUpstream(ts.clk, ts.log, id, service)
	ts.upstreams[id] = up
	ts.st.List(up, site.Ready)
	return up
}

// unreachable lists an upstream whose address refuses connections. Its port stays bound:
// that of a closed server may be taken by a server of another test at once, which would
// answer.
func (ts *testSite) unreachable(id, service string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(ts.t, err)
	ts.t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(ts.t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	require.NoError(ts.t, err)
	up := site.NewUpstream(ts.clk, ts.log, id, service)
	up.Public = fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	ts.upstreams[id] = up
	ts.st.List(up, site.Ready)
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startEntry starts an entry.
func (ts *testSite) startEntry() *testEntry { return ts.startEntryWith(0, 0) }

// startEntryWith starts an entry with this number of cores and link rate in the settings.
func (ts *testSite) startEntryWith(cores, rate float64) *testEntry {
	return ts.startEntryAt(ts.st.Open(), cores, rate)
}

// startEntryAt starts an entry with this access to the store.
func (ts *testSite) startEntryAt(door *site.Door, cores, rate float64) *testEntry {
	for range 20 {
		ga, err := ts.startGateway(door, cores, rate, nil)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // another process has bound one of the addresses in the meantime
		}
		require.NoError(ts.t, err)
		en := &testEntry{Gateway: ga, door: door}
		ts.entries = append(ts.entries, en)
		return en
	}
	require.Fail(ts.t, "no free addresses")
	return nil
}

// startGateway starts a gateway at free addresses. Another process can bind them first.
func (ts *testSite) startGateway(door *site.Door, cores, rate float64, seeds []string) (*Gateway, error) {
	si := &citronstream.Site{
		Process: fmt.Sprintf("front-%d", len(ts.entries)), Zone: cmp.Or(ts.zone, "z"), Regions: ts.regions, Callers: freeAddress(ts.t), Ready: freeAddress(ts.t), Peers: freeAddress(ts.t),
		Bounds: ts.bounds, Store: door.Address(), Cores: cores, LinkRate: rate, Seeds: seeds,
	}
	ga, err := New(context.Background(), ts.clk, ts.logger, si)
	if err != nil {
		return nil, err
	}
	return ga, ga.Start()
}

func (en *testEntry) stop() {
	if en.stopped {
		return
	}
	en.stopped = true
	en.Stop()
	en.door.CloseClientConnections()
	en.door.Close()
}

// waitReady waits until all entries know all upstreams and are linked to each other.
func (ts *testSite) waitReady() {
	ts.waitFor(func() bool {
		for _, en := range ts.entries {
			if !en.stopped && (!en.Ready() || en.view.Members().Len() != len(ts.upstreams) || en.mesh.LiveCount() != ts.liveEntries()) {
				return false
			}
		}
		return true
	}, "the site is not ready")
}

func (ts *testSite) liveEntries() (count int) {
	for _, en := range ts.entries {
		if !en.stopped {
			count++
		}
	}
	return count
}

func (ts *testSite) waitFor(condition func() bool, text string) {
	ts.t.Helper()
	require.Eventually(ts.t, condition, testTimeout, pollInterval, text)
}

// call is a caller's request.
type call struct {
	id     string
	header http.Header
}

// call returns a request with a new ID. Changes are pairs of header name and
// value; an empty value removes the header.
func (ts *testSite) call(changes ...string) *call {
	ca := &call{id: fmt.Sprintf("r%d", ts.next.Add(1))}
	ca.header = site.CallerHeader(ca.id)
	for i := 0; i+1 < len(changes); i += 2 {
		if ca.header.Set(changes[i], changes[i+1]); changes[i+1] == "" {
			ca.header.Del(changes[i])
		}
	}
	return ca
}

// send sends a call to an entry.
func (ts *testSite) send(ctx context.Context, en *testEntry, ca *call, method, target, body string) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+en.site.Callers+target, strings.NewReader(body))
	require.NoError(ts.t, err)
	rq.Host = "h"
	rq.Header = ca.header
	return ts.client.Do(rq)
}

// roundTrip sends a call and reads the whole response.
func (ts *testSite) roundTrip(en *testEntry, ca *call, method, target, body string) (*http.Response, string) {
	ts.t.Helper()
	res, err := ts.send(context.Background(), en, ca, method, target, body)
	require.NoError(ts.t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	require.NoError(ts.t, err)
	return res, string(raw)
}

// executions returns how often a request ran.
func (ts *testSite) executions(ca *call) (count int) {
	for _, ar := range ts.log.Of(ca.id) {
		if ar.Ran {
			count++
		}
	}
	return count
}

func (ts *testSite) assertStatus(want int, res *http.Response) {
	ts.t.Helper()
	assert.Equal(ts.t, want, res.StatusCode)
}
