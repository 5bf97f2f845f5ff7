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
	soon  = 10 * time.Second
	often = 2 * time.Millisecond
)

// world is a site with its stand-ins and some entries.
type world struct {
	t       *testing.T
	clk     citronstream.Clock
	st      *site.Store
	log     *site.Log
	ups     map[string]*site.Upstream
	entries []*entry
	client  *http.Client
	next    atomic.Int64
}

// entry is a gateway under test.
type entry struct {
	*Gateway
	door  *site.Door
	ended bool
}

func newWorld(t *testing.T, entries int) *world {
	wo := &world{t: t, clk: clockwork.NewRealClock(), log: &site.Log{}, ups: make(map[string]*site.Upstream)}
	wo.st = site.NewStore(wo.clk)
	wo.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	wo.configure(1, "")
	for range entries {
		wo.enter()
	}
	t.Cleanup(func() {
		for _, en := range wo.entries {
			en.stop()
		}
		for _, up := range wo.ups {
			up.CloseClientConnections()
			up.Close()
		}
		wo.client.CloseIdleConnections()
	})
	return wo
}

func (wo *world) configure(version int, more string) {
	wo.st.Configure(version, more)
}

// upstream starts an upstream and registers it.
func (wo *world) upstream(id, service string) *site.Upstream {
	up := site.NewUpstream(wo.clk, wo.log, id, service)
	wo.ups[id] = up
	wo.st.List(up, site.Ready)
	return up
}

func address(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// enter starts an entry.
func (wo *world) enter() *entry { return wo.enterAs(0, 0) }

// enterAs starts an entry on an instance with this processor and link.
func (wo *world) enterAs(cores, rate float64) *entry {
	door := wo.st.Open()
	for range 20 {
		ga, err := wo.begin(door, cores, rate)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // another process has taken an address between the choice and its use
		}
		require.NoError(wo.t, err)
		en := &entry{Gateway: ga, door: door}
		wo.entries = append(wo.entries, en)
		return en
	}
	require.Fail(wo.t, "no free addresses")
	return nil
}

// begin starts a gateway at addresses that are free now.
func (wo *world) begin(door *site.Door, cores, rate float64) (*Gateway, error) {
	si := &citronstream.Site{
		Process: fmt.Sprintf("front-%d", len(wo.entries)), Zone: "z", Callers: address(wo.t), Ready: address(wo.t), Peers: address(wo.t),
		Bounds: citronstream.Bounds{Grace: 8 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 50},
		Store:  door.Address(), Cores: cores, LinkRate: rate,
	}
	ga, err := New(context.Background(), wo.clk, logr.Discard(), si)
	if err != nil {
		return nil, err
	}
	return ga, ga.Start()
}

func (en *entry) stop() {
	if en.ended {
		return
	}
	en.ended = true
	en.Stop()
	en.door.CloseClientConnections()
	en.door.Close()
}

// ready waits until all entries know all upstreams and each other.
func (wo *world) ready() {
	wo.until(func() bool {
		for _, en := range wo.entries {
			if !en.ended && (!en.Ready() || en.view.Members().Len() != len(wo.ups) || en.mesh.LiveCount() != wo.alive()) {
				return false
			}
		}
		return true
	}, "the site is not ready")
}

func (wo *world) alive() (count int) {
	for _, en := range wo.entries {
		if !en.ended {
			count++
		}
	}
	return count
}

func (wo *world) until(condition func() bool, text string) {
	wo.t.Helper()
	require.Eventually(wo.t, condition, soon, often, text)
}

// call is a caller's request.
type call struct {
	id     string
	header http.Header
}

// call returns a request with a header of its own. Changes are pairs of name
// and value; an empty value removes the header.
func (wo *world) call(changes ...string) *call {
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
func (wo *world) send(ctx context.Context, en *entry, ca *call, method, target, body string) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+en.site.Callers+target, strings.NewReader(body))
	require.NoError(wo.t, err)
	rq.Host = "h"
	rq.Header = ca.header
	return wo.client.Do(rq)
}

// answer sends a call and reads the whole answer.
func (wo *world) answer(en *entry, ca *call, method, target, body string) (*http.Response, string) {
	wo.t.Helper()
	res, err := wo.send(context.Background(), en, ca, method, target, body)
	require.NoError(wo.t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	require.NoError(wo.t, err)
	return res, string(raw)
}

// ran returns how often a request was run.
func (wo *world) ran(ca *call) (count int) {
	for _, ar := range wo.log.Of(ca.id) {
		if ar.Ran {
			count++
		}
	}
	return count
}

func (wo *world) assertStatus(want int, res *http.Response) {
	wo.t.Helper()
	assert.Equal(wo.t, want, res.StatusCode)
}
