package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/citronstream/citronstream/internal/standin/memobjects"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// headerSlack is how much longer than maxHeaderBytes a head may be, as parts of the body
// are read with it.
const headerSlack = 4 << 10

// fakeProcess is a Process that records its calls.
type fakeProcess struct {
	ready   error
	drained string
	filter  timeline.Filter
}

func (pr *fakeProcess) Ready() error { return pr.ready }

func (pr *fakeProcess) Status(context.Context) report.Status {
	return report.Status{Process: "entry-1"}
}

func (pr *fakeProcess) Timeline(_ context.Context, fi timeline.Filter, _ bool) []citronstream.Event {
	pr.filter = fi
	return nil
}

func (pr *fakeProcess) Holds() ([]byte, error) { return []byte("[]"), nil }

func (pr *fakeProcess) RefreshSlots(string) {}

func (pr *fakeProcess) Lift(_ context.Context, digest uint64) int { return int(digest) }

func (pr *fakeProcess) Drain(_ context.Context, name string) error {
	if name == "unknown" {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "no process")
	}
	pr.drained = name
	return nil
}

func newServer(opts ...Option) (*Server, *fakeProcess) {
	pr := &fakeProcess{}
	se := New(clockwork.NewFakeClock(), "127.0.0.1:0", pr, opts...)
	se.ctx = context.Background()
	return se, pr
}

// Guards against metrics that are kept without a bound for clients that do not read them.
func TestMetricsAreReserved(t *testing.T) {
	text := strings.Repeat("x", 1<<20)
	metrics := WithMetrics(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "text/plain; version=0.0.4")
		wr.Header().Set("Content-Encoding", "identity")
		_, _ = io.WriteString(wr, text)
	}))
	se, _ := newServer(metrics)
	assert.Equal(t, text, assertStatus(t, se, request(http.MethodGet, "/metrics", ""), http.StatusOK))
	assert.Zero(t, se.LimitCount(LimitAnswerMemory))
	limits := citronstream.DefaultLimits()
	limits.MaxOperatorMemory = 512 << 10
	se, _ = newServer(metrics, WithLimits(limits))
	wr := httptest.NewRecorder()
	se.routes().ServeHTTP(wr, request(http.MethodGet, "/metrics", ""))
	assert.Equal(t, http.StatusServiceUnavailable, wr.Code)
	assert.Empty(t, wr.Header().Get("Content-Encoding"))
	assert.EqualValues(t, 1, se.LimitCount(LimitAnswerMemory))
	assert.Zero(t, se.Memory().Used())
}

func request(method, path, body string) *http.Request {
	rq := httptest.NewRequest(method, path, strings.NewReader(body))
	rq.RemoteAddr = "127.0.0.1:9"
	rq.Header.Set("Content-Type", "application/json")
	return rq
}

func assertStatus(t *testing.T, se *Server, rq *http.Request, want int) string {
	t.Helper()
	wr := httptest.NewRecorder()
	se.routes().ServeHTTP(wr, rq)
	body, err := io.ReadAll(wr.Body)
	require.NoError(t, err)
	assert.Equal(t, want, wr.Code, "%s %s: %s", rq.Method, rq.URL, body)
	return string(body)
}

// Guards against operators' actions by unauthorized callers.
func TestAuthentication(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	paths := []string{"/metrics", "/v1/admin/status", "/v1/admin/timeline", "/v1/admin/cost", "/v1/admin/holds", "/v1/admin/config"}
	t.Run("tokens", func(t *testing.T) {
		se, _ := newServer(WithOperators([]settings.Operator{{Name: "ann", TokenSHA256: hex.EncodeToString(sum[:])}}))
		for _, path := range paths {
			for _, header := range []string{"", "secret", "Bearer ", "Bearer secreT", "Bearer " + hex.EncodeToString(sum[:])} {
				rq := request(http.MethodGet, path, "")
				rq.Header.Set("Authorization", header)
				assertStatus(t, se, rq, http.StatusUnauthorized)
			}
		}
		rq := request(http.MethodGet, "/v1/admin/status", "")
		rq.RemoteAddr = "10.1.2.3:9"
		rq.Header.Set("Authorization", "Bearer secret")
		assertStatus(t, se, rq, http.StatusOK)
	})
	t.Run("loopback only without tokens", func(t *testing.T) {
		se, _ := newServer()
		assertStatus(t, se, request(http.MethodGet, "/v1/admin/status", ""), http.StatusOK)
		for _, path := range paths {
			rq := request(http.MethodGet, path, "")
			rq.RemoteAddr = "10.1.2.3:9"
			assertStatus(t, se, rq, http.StatusUnauthorized)
			rq = request(http.MethodGet, path, "")
			rq.Header.Set("Origin", "http://pages.example")
			assertStatus(t, se, rq, http.StatusUnauthorized)
		}
	})
	t.Run("form posts from a browser", func(t *testing.T) {
		se, pr := newServer()
		rq := request(http.MethodPost, "/v1/admin/drain", `{}`)
		rq.Header.Set("Content-Type", "text/plain")
		assertStatus(t, se, rq, http.StatusUnsupportedMediaType)
		assert.Empty(t, pr.drained)
	})
	t.Run("large header", func(t *testing.T) {
		se, _ := newServer()
		require.NoError(t, se.Start(context.Background()))
		defer se.http.Close()
		rq, err := http.NewRequest(http.MethodGet, "http://"+se.http.Listener().Addr().String()+"/healthz", nil)
		require.NoError(t, err)
		rq.Header.Set("X-Padding", strings.Repeat("x", maxHeaderBytes+headerSlack))
		rs, err := http.DefaultClient.Do(rq)
		require.NoError(t, err)
		defer rs.Body.Close()
		assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, rs.StatusCode)
	})
}

// Guards against a load balancer that sends requests to a process that can't
// serve them.
func TestReadiness(t *testing.T) {
	se, pr := newServer()
	assertStatus(t, se, request(http.MethodGet, "/readyz", ""), http.StatusOK)
	pr.ready = citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "leaving")
	assert.Equal(t, "leaving\n", assertStatus(t, se, request(http.MethodGet, "/readyz", ""), http.StatusServiceUnavailable))
	assertStatus(t, se, request(http.MethodGet, "/healthz", ""), http.StatusOK)
}

func TestAdmin(t *testing.T) {
	se, pr := newServer()
	t.Run("drain", func(t *testing.T) {
		assertStatus(t, se, request(http.MethodPost, "/v1/admin/drain", `{"Name":"desk-1"}`), http.StatusOK)
		assert.Equal(t, "desk-1", pr.drained)
		assertStatus(t, se, request(http.MethodPost, "/v1/admin/drain", `{"Name":"unknown"}`), http.StatusNotFound)
		assertStatus(t, se, request(http.MethodPost, "/v1/admin/drain", `{`), http.StatusBadRequest)
	})
	// Guards against a filter that shows the events of other requests or times.
	t.Run("timeline filters", func(t *testing.T) {
		assertStatus(t, se, request(http.MethodGet, "/v1/admin/timeline?request=r&upstream=u&kind=k&process=p&since=5m&limit=7", ""), http.StatusOK)
		want := timeline.Filter{RequestID: "r", Upstream: "u", Kind: "k", Processes: []string{"p"}, Limit: 7, Since: timeline.At(se.clk.Now().Add(-5 * 60e9))}
		assert.Equal(t, want, pr.filter)
		for _, query := range []string{"since=yesterday", "limit=0", "limit=1000000"} {
			assertStatus(t, se, request(http.MethodGet, "/v1/admin/timeline?"+query, ""), http.StatusBadRequest)
		}
	})
	t.Run("lift", func(t *testing.T) {
		assert.JSONEq(t, `{"Processes":2}`, assertStatus(t, se, request(http.MethodPost, "/v1/admin/holds/lift", `{"Digest":2}`), http.StatusOK))
	})
	t.Run("cost without a table", func(t *testing.T) {
		assertStatus(t, se, request(http.MethodGet, "/v1/admin/cost", ""), http.StatusNotFound)
	})
}

// Guards against changes of two operators that overwrite each other, and
// against invalid documents that come into force.
func TestConfig(t *testing.T) {
	clk := clockwork.NewFakeClock()
	store := version.New(clk, memtable.New(clk), memobjects.New())
	var faults []string
	se, _ := newServer(WithConfig(func() *version.Store { return store }, func(*citronstream.Fleet) []string { return faults }))
	post := func(body string, want int) string {
		return assertStatus(t, se, request(http.MethodPost, "/v1/admin/config", body), want)
	}
	assert.JSONEq(t, `{"Version":1}`, post(`{"Base":0,"Fleet":{"Site":"one"}}`, http.StatusOK))
	conflict := post(`{"Base":0,"Fleet":{"Site":"two"}}`, http.StatusConflict)
	assert.Contains(t, conflict, `"Author":"loopback"`)
	assert.Contains(t, conflict, "Site")
	faults = []string{"Fleet.Site: missing"}
	assert.Contains(t, post(`{"Base":1,"Fleet":{}}`, http.StatusUnprocessableEntity), "Fleet.Site: missing")
	post(`{"Base":1}`, http.StatusBadRequest)
	assert.Equal(t, uint64(1), store.Version())
	assert.Contains(t, assertStatus(t, se, request(http.MethodGet, "/v1/admin/config", ""), http.StatusOK), `"Site":"one"`)
	empty, _ := newServer(WithConfig(func() *version.Store { return nil }, nil))
	assertStatus(t, empty, request(http.MethodGet, "/v1/admin/config", ""), http.StatusServiceUnavailable)
}

// Guards against a documented endpoint that no process serves.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `(GET|POST) (/[a-z0-9/]+)` \\|").FindAllStringSubmatch(string(page), -1)
	require.Len(t, rows, 13)
	se, _ := newServer(WithMetrics(http.NotFoundHandler()), WithTable(memtable.New(clockwork.NewFakeClock())))
	for _, row := range rows {
		_, pattern := se.mux().Handler(request(row[1], row[2], ""))
		assert.Equal(t, row[1]+" "+row[2], pattern)
	}
}

// Guards against a start that hangs when another process uses the operators'
// address.
func TestOccupiedAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	se := New(clockwork.NewFakeClock(), ln.Addr().String(), &fakeProcess{})
	assert.ErrorContains(t, se.Start(context.Background()), "operators' address "+ln.Addr().String())
}
