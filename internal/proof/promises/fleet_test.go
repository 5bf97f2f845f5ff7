// Package promises has a test for each promise of the design page, on real
// entries and agents over loopback.
package promises

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/process/local"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// patience bounds every wait. It is far above what a wait takes, so that no
// outcome depends on the speed of the host.
const (
	patience = 30 * time.Second
	poll     = 5 * time.Millisecond
)

var clk = clockwork.NewRealClock()

// shape describes a small fleet: a plain service for each name of desks, with
// the calls "look" (idempotent) and "place" (not), and engines behind the
// pipeline "write".
type shape struct {
	desks    []string
	each     int // upstreams of each desk
	engines  int
	entries  int
	capacity int
	scale    float64
	deadline time.Duration // of the urgent rank
	edit     func(fl *citronstream.Fleet)
}

// lastPort is the port handed out last. No port is handed out twice in a row
// of tests, and test processes side by side start at different ones.
var lastPort atomic.Uint32

func init() { lastPort.Store(rand.Uint32N(20000)) }

// port finds a free port below the range of outgoing connections.
func port(t *testing.T) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+lastPort.Add(1)%20000)
		if ln, err := net.Listen("tcp", address); err == nil {
			require.NoError(t, ln.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (sh shape) config(t *testing.T) *citronstream.Fleet {
	t.Helper()
	sh.each, sh.entries, sh.capacity = max(sh.each, 1), max(sh.entries, 1), max(sh.capacity, 8)
	if sh.deadline == 0 {
		sh.deadline = 5 * time.Second
	}
	zones := []string{"a", "b", "c"}
	fl := &citronstream.Fleet{
		Site: "small", Owners: []citronstream.Owner{{Name: "firm"}}, Limits: citronstream.DefaultLimits(),
		Ranks: []citronstream.Rank{
			{Name: "urgent", Deadline: citronstream.Duration(sh.deadline), Worth: 10, Floor: 0.3},
			{Name: "batch", Deadline: citronstream.Duration(time.Minute), Worth: 1, Floor: 0.05},
		},
		Workspaces: []citronstream.Workspace{{Name: "large", Owner: "firm", Weight: 40}, {Name: "small", Owner: "firm", Weight: 4}, {Name: "tiny", Owner: "firm", Weight: 1}},
		Models:     []citronstream.Model{{Name: "writer-model", Version: "1", Bytes: 1}},
	}
	region := citronstream.Region{Name: "r"}
	for _, zone := range zones {
		region.Zones = append(region.Zones, citronstream.Zone{Name: zone, Distance: citronstream.Duration(500 * time.Microsecond)})
	}
	fl.Regions = append(fl.Regions, region)
	upstreams := func(service string, count int, models ...string) {
		for i := range count {
			name := fmt.Sprintf("%s-%d", service, i+1)
			fl.Instances = append(fl.Instances, citronstream.Instance{Name: "host-" + name, Zone: zones[i%len(zones)], Address: "127.0.0.1"})
			fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: name, Service: service, Instance: "host-" + name, Address: port(t), Agent: port(t), Capacity: sh.capacity, Models: models})
		}
	}
	for _, desk := range sh.desks {
		fl.Services = append(fl.Services, citronstream.Service{Name: desk, Kind: citronstream.KindPlain, Protocol: "plain", Owner: "firm", Calls: []citronstream.ServiceCall{
			{Name: "look", Path: "/look", Idempotent: true, Rank: "urgent", Cost: 1}, {Name: "place", Path: "/place", Rank: "urgent", Cost: 1},
		}})
		upstreams(desk, sh.each)
	}
	if sh.engines > 0 {
		fl.Services = append(fl.Services, citronstream.Service{Name: "writer", Kind: citronstream.KindEngine, Protocol: "completions", Owner: "firm", Calls: []citronstream.ServiceCall{
			{Name: "generate", Path: "/v1/completions", Idempotent: true, Cost: 20, Streams: true},
		}})
		upstreams("writer", sh.engines, "writer-model")
		fl.Pipelines = []citronstream.Pipeline{{Name: "write", Rank: "urgent", Stages: []citronstream.Stage{{Name: "generate", Service: "writer", Call: "generate", Model: "writer-model"}}}}
	}
	for i := range sh.entries {
		name := fmt.Sprintf("entry-%d", i+1)
		fl.Instances = append(fl.Instances, citronstream.Instance{Name: "host-" + name, Zone: zones[i%len(zones)], Address: "127.0.0.1"})
		fl.Entries = append(fl.Entries, citronstream.Entry{Name: name, Instance: "host-" + name, Address: port(t), Admin: port(t)})
	}
	if sh.edit != nil {
		sh.edit(fl)
	}
	return fl
}

// fleet is a running fleet with a caller.
type fleet struct {
	*local.Fleet
	t      *testing.T
	client *http.Client
}

// start runs a fleet until the test ends and then checks that no goroutine is left.
func start(t *testing.T, sh shape) *fleet {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if sh.scale == 0 {
		sh.scale = 1
	}
	lf, err := local.New(ctx, clk, sh.config(t), local.WithScale(sh.scale))
	for range 5 { // another process may have taken a port in the meantime
		if errors.Is(err, syscall.EADDRINUSE) {
			lf, err = local.New(ctx, clk, sh.config(t), local.WithScale(sh.scale))
		}
	}
	require.NoError(t, err)
	fl := &fleet{Fleet: lf, t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	t.Cleanup(func() {
		fl.client.CloseIdleConnections()
		lf.Stop()
	})
	fl.ready()
	return fl
}

func (fl *fleet) ready() {
	fl.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer clk.AfterFunc(patience, cancel).Stop()
	require.NoError(fl.t, fl.Ready(ctx))
}

// until waits for a condition.
func until(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := clk.Now().Add(patience); !met(); <-clk.After(poll) {
		if clk.Now().After(end) {
			t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// answer is what a caller got.
type answer struct {
	id      string
	status  int // 0 without a response
	body    string
	fault   *citronstream.Fault // of a problem document
	replay  bool
	began   time.Time
	took    time.Duration
	connErr error
}

// done says that the caller has a whole answer.
func (an answer) done() bool { return an.fault == nil && an.status == http.StatusOK }

// notRun says that the caller was told that its work did not run.
func (an answer) notRun() bool { return an.fault != nil && an.fault.Verdict == citronstream.NotRun }

// call is one request of a caller.
type call struct {
	entry     int
	path      string // such as services/desk/look
	body      string
	key       string
	rank      string
	workspace string
	deadline  time.Duration
}

func (fl *fleet) send(ctx context.Context, ca call) answer {
	if ca.workspace == "" {
		ca.workspace = "large"
	}
	if ca.body == "" {
		ca.body = fmt.Sprintf(`{"Number":%d}`, rand.Uint64())
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fl.Config.Entries[ca.entry].Address+"/v1/"+ca.path, strings.NewReader(ca.body))
	if err != nil {
		return answer{connErr: err}
	}
	rq.GetBody = nil // net/http must not send a request again by itself
	rq.Header.Set("X-Workspace", ca.workspace)
	if ca.rank != "" {
		rq.Header.Set("X-Rank", ca.rank)
	}
	if ca.key != "" {
		rq.Header.Set("Idempotency-Key", ca.key)
	}
	if ca.deadline > 0 {
		rq.Header.Set("Deadline", fmt.Sprint(ca.deadline.Milliseconds()))
	}
	an := answer{began: clk.Now()}
	defer func() { an.took = clk.Now().Sub(an.began) }()
	re, err := fl.client.Do(rq)
	if err != nil {
		an.connErr = err
		return an
	}
	defer func() { _ = re.Body.Close() }()
	body, err := io.ReadAll(re.Body)
	an.id, an.status, an.body, an.connErr = re.Header.Get("X-Request-Id"), re.StatusCode, string(body), err
	an.replay = re.Header.Get("Idempotency-Replayed") == "true"
	if strings.HasPrefix(re.Header.Get("Content-Type"), "application/problem+json") {
		an.fault = &citronstream.Fault{}
		if json.Unmarshal(body, an.fault) != nil {
			an.fault.Code = "unreadable"
		}
	}
	an.took = clk.Now().Sub(an.began)
	return an
}

// post sends a request and waits for its answer, at most patience.
func (fl *fleet) post(ca call) answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer clk.AfterFunc(patience, cancel).Stop()
	return fl.send(ctx, ca)
}

// later sends a request in the background.
func (fl *fleet) later(ca call) <-chan answer {
	got := make(chan answer, 1)
	go func() { got <- fl.post(ca) }()
	return got
}

// running counts the executions that have started and not ended.
func (fl *fleet) running(path string) int {
	return fl.count(func(ex record.Execution) bool { return ex.Outcome == record.Running && ex.Path == path })
}

// hedges returns how many second attempts beside a first one the entries have
// started. Only idempotent calls are hedged.
func (fl *fleet) hedges() uint64 {
	sum := uint64(0)
	for _, en := range fl.Config.Entries {
		if pr := fl.Entry(en.Name); pr != nil {
			sum += pr.Runner.Counts().Hedges.Load()
		}
	}
	return sum
}

// hedgeLost says that an execution was cancelled because another attempt of
// the same request had answered.
func (fl *fleet) hedgeLost(ex record.Execution) bool {
	return ex.Outcome == record.Canceled && slices.ContainsFunc(fl.Record.ByRequest(ex.RequestID), func(other record.Execution) bool {
		return other.ID != ex.ID && other.Outcome == record.Done && !other.EndedAt.After(ex.EndedAt)
	})
}

func (fl *fleet) count(match func(ex record.Execution) bool) int {
	found := 0
	for _, ex := range fl.Record.All() {
		if match(ex) {
			found++
		}
	}
	return found
}

// accept puts a changed configuration in force everywhere.
func (fl *fleet) accept(edit func(next *citronstream.Fleet)) uint64 {
	fl.t.Helper()
	ctx := context.Background()
	require.NoError(fl.t, fl.Operator.Refresh(ctx))
	next := *fl.Operator.Current().Fleet
	next.Upstreams = append([]citronstream.Upstream(nil), next.Upstreams...)
	next.Workspaces = append([]citronstream.Workspace(nil), next.Workspaces...)
	edit(&next)
	version, err := fl.Operator.Accept(ctx, next.Version, &next, "test")
	require.NoError(fl.t, err)
	until(fl.t, "configuration in force", func() bool { return fl.inForce(version) })
	return version
}

func (fl *fleet) inForce(version uint64) bool {
	for _, en := range fl.Config.Entries {
		if pr := fl.Entry(en.Name); pr != nil && pr.Version() < version {
			return false
		}
	}
	for _, up := range fl.Config.Upstreams {
		if ag := fl.Agent(up.Name); ag != nil && ag.Config.Version() < version {
			return false
		}
	}
	return true
}
