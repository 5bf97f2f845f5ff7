package gateway

import (
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

// Patience of these tests. Nothing in them depends on speed.
const (
	testTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// testSite is a site with its stand-ins and some entries.
type testSite struct {
	t       *testing.T
	clk     citronstream.Clock
	st      *site.Store
	log     *site.Log
	upstreams     map[string]*site.Upstream
	entries []*testEntry
	client  *http.Client
	next    atomic.Int64
}

// testEntry is a gateway under test.
type testEntry struct {
	*Gateway
	door  *site.Door
	stopped bool
}

func newTestSite(t *testing.T, entries int) *testSite {
	wo := &testSite{t: t, clk: clockwork.NewRealClock(), log: &site.Log{}, upstreams: make(map[string]*site.Upstream)}
	wo.st = site.NewStore(wo.clk)
	wo.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	wo.configure(1, "")
	for range entries {
		wo.startEntry()
	}
	t.Cleanup(func() {
		for _, en := range wo.entries {
			en.stop()
		}
		for _, up := range wo.upstreams {
			up.CloseClientConnections()
			up.Close()
		}
		wo.client.CloseIdleConnections()
	})
	return wo
}

func (wo *testSite) configure(version int, more string) {
	wo.st.Configure(version, more)
}

// upstream starts an upstream and registers it.
func (wo *testSite) upstream(id, service string) *site.Upstream {
	up := site.NewUpstream(wo.clk, wo.log, id, service)
	wo.upstreams[id] = up
	wo.st.List(up, site.Ready)
	return up
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startEntry starts an entry.
func (wo *testSite) startEntry() *testEntry { return wo.startEntryWith(0, 0) }

// startEntryWith starts an entry on an instance with this processor and link.
func (wo *testSite) startEntryWith(cores, rate float64) *testEntry {
	door := wo.st.Open()
	for range 20 {
		ga, err := wo.startGateway(door, cores, rate)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // another process has taken an address between the choice and its use
		}
		require.NoError(wo.t, err)
		en := &testEntry{Gateway: ga, door: door}
		wo.entries = append(wo.entries, en)
		return en
	}
	require.Fail(wo.t, "no free addresses")
	return nil
}

// startGateway starts a gateway at addresses that are free now.
func (wo *testSite) startGateway(door *site.Door, cores, rate float64) (*Gateway, error) {
	si := &citronstream.Site{
		Process: fmt.Sprintf("front-%d", len(wo.entries)), Zone: "z", Callers: freeAddress(wo.t), Ready: freeAddress(wo.t), Peers: freeAddress(wo.t),
		Bounds: citronstream.Bounds{Grace: 8 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 50},
		Store:  door.Address(), Cores: cores, LinkRate: rate,
	}
	ga, err := New(context.Background(), wo.clk, logr.Discard(), si)
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

// waitReady waits until all entries know all upstreams and each other.
func (wo *testSite) waitReady() {
	wo.waitFor(func() bool {
		for _, en := range wo.entries {
			if !en.stopped && (!en.Ready() || en.view.Members().Len() != len(wo.upstreams) || en.mesh.LiveCount() != wo.liveEntries()) {
				return false
			}
		}
		return true
	}, "the site is not ready")
}

func (wo *testSite) liveEntries() (count int) {
	for _, en := range wo.entries {
		if !en.stopped {
			count++
		}
	}
	return count
}

func (wo *testSite) waitFor(condition func() bool, text string) {
	wo.t.Helper()
	require.Eventually(wo.t, condition, testTimeout, pollInterval, text)
}

// call is a caller's request.
type call struct {
	id     string
	header http.Header
}

// call returns a request with a header of its own. Changes are pairs of name
// and value; an empty value removes the header.
func (wo *testSite) call(changes ...string) *call {
	ca := &call{id: fmt.Sprintf("r%d", wo.next.Add(1))}
	ca.header = site.CallerHeader(ca.id)
	for i := 0; i+1 < len(changes); i += 2 {
		if ca.header.Set(changes[i], changes[i+1]); changes[i+1] == "" {
			ca.header.Del(changes[i])
		}
	}
	return ca
}

// send sends a call to an entry.
func (wo *testSite) send(ctx context.Context, en *testEntry, ca *call, method, target, body string) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+en.site.Callers+target, strings.NewReader(body))
	require.NoError(wo.t, err)
	rq.Host = "h"
	rq.Header = ca.header
	return wo.client.Do(rq)
}

// roundTrip sends a call and reads the whole roundTrip.
func (wo *testSite) roundTrip(en *testEntry, ca *call, method, target, body string) (*http.Response, string) {
	wo.t.Helper()
	res, err := wo.send(context.Background(), en, ca, method, target, body)
	require.NoError(wo.t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	require.NoError(wo.t, err)
	return res, string(raw)
}

// executions returns how often a request was run.
func (wo *testSite) executions(ca *call) (count int) {
	for _, ar := range wo.log.Of(ca.id) {
		if ar.Ran {
			count++
		}
	}
	return count
}

func (wo *testSite) assertStatus(want int, res *http.Response) {
	wo.t.Helper()
	assert.Equal(wo.t, want, res.StatusCode)
}
