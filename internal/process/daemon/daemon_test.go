package daemon

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/citronstream/citronstream/internal/standin/service"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// summary is the output of `status --json`.
type summary struct {
	Entries []struct{ Status *report.Status }
	Agents  []report.Status
}

// converged reports whether all processes serve one version, all links are up and
// every idempotency slot has an owner.
func (fl *fleet) converged(version uint64) bool {
	out, err := fl.tryRun("status", "--json", "--settings", fl.file("fleet"))
	var su summary
	if err != nil || json.Unmarshal([]byte(out), &su) != nil || len(su.Agents) != len(fl.set.Fleet.Upstreams) {
		return false
	}
	for _, en := range su.Entries {
		if en.Status == nil || en.Status.NotReady != "" || en.Status.Version != version {
			return false
		}
		for _, up := range en.Status.Upstreams {
			if !up.Linked || up.State != "live" {
				return false
			}
		}
	}
	slots := 0
	for _, ag := range su.Agents {
		if ag.NotReady != "" || ag.Version != version {
			return false
		}
		slots += len(ag.Load.Slots)
	}
	return slots == 64
}

type order struct {
	status   int
	replayed bool
	body     string
	service.Answer
}

func (fl *fleet) placeOrder(entry int, key string) order {
	rs, err := fl.post(entry, "/v1/services/order-desk/place-order", key, `{"item":"gasket"}`)
	require.NoError(fl.t, err)
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	require.NoError(fl.t, err)
	ord := order{status: rs.StatusCode, replayed: rs.Header.Get("Idempotency-Replayed") != "", body: string(body)}
	if ord.status == http.StatusOK {
		require.NoError(fl.t, json.Unmarshal(body, &ord.Answer))
	}
	return ord
}

// stream is a pipeline's streamed response.
type stream struct {
	rs    *http.Response
	lines *bufio.Reader
	first string
}

// openStream sends a request and returns after the first event.
func (fl *fleet) openStream(entry int) *stream {
	rs, err := fl.post(entry, "/v1/pipelines/answer", "", `{"prompt":"which gasket fits?","max_tokens":100,"stream":true}`)
	require.NoError(fl.t, err)
	require.Equal(fl.t, http.StatusOK, rs.StatusCode)
	st := &stream{rs: rs, lines: bufio.NewReader(rs.Body)}
	st.first, err = st.lines.ReadString('\n')
	require.NoError(fl.t, err)
	return st
}

// readRest reads a stream to its end and asserts that it is complete.
func (st *stream) readRest(t *testing.T) {
	t.Helper()
	defer st.rs.Body.Close()
	body, err := io.ReadAll(st.lines)
	require.NoError(t, err)
	assert.True(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), "the answer is not complete: %.200s", body[max(0, len(body)-200):])
	assert.NotContains(t, string(body), "event: error")
}

// Runs the daemons as separate processes over the platform's protocols. Guards
// against parts that only work together inside one process.
func TestSeparateProcesses(t *testing.T) {
	t.Run("without tokens and certificates", func(t *testing.T) { testLifecycle(t, newFleet(t, false)) })
	t.Run("with tokens and certificates", func(t *testing.T) { testLifecycle(t, newFleet(t, true)) })
}

func testLifecycle(t *testing.T, fl *fleet) {
	fl.start("fleet", "standin")
	for _, up := range fl.set.Fleet.Upstreams {
		fl.start(up.Name, "agent")
	}
	for _, en := range fl.set.Fleet.Entries {
		fl.start(en.Name, "entry")
		fl.waitFor("operators' address of "+en.Name, func() bool { code, _ := fl.status(en.Admin, "/healthz"); return code == http.StatusOK })
	}
	code, reason := fl.status(fl.set.Fleet.Entries[0].Admin, "/readyz")
	assert.Equal(t, http.StatusServiceUnavailable, code)
	assert.Contains(t, reason, "no recent configuration is known")
	assert.Contains(t, fl.run("apply", "--yes", "--settings", fl.file("fleet")), "version 1 accepted")
	fl.waitFor("version 1 in force", func() bool { return fl.converged(1) })

	t.Run("one execution through both entries", fl.testSingleExecution)
	t.Run("operators", fl.testOperatorCommands)
	t.Run("metrics", fl.testMetrics)
	t.Run("unconfigured entry", fl.testUnconfiguredEntry)
	t.Run("agent killed and restarted", fl.testAgentRestart)
	t.Run("graceful shutdown", fl.testGracefulShutdown)
}

func (fl *fleet) testSingleExecution(t *testing.T) {
	answers := make(chan order, 2)
	for entry := range 2 {
		go func() { answers <- fl.placeOrder(entry, "order-1") }()
	}
	one, other := <-answers, <-answers
	assert.Equal(t, http.StatusOK, one.status, one.body)
	assert.Equal(t, one.body, other.body)
	assert.NotEqual(t, one.replayed, other.replayed, "one of the two is the replay")
	// The execution number counts over all stand-ins.
	assert.Equal(t, one.Execution+1, fl.placeOrder(0, "order-2").Execution)
	fl.openStream(0).readRest(t)
}

func (fl *fleet) testOperatorCommands(t *testing.T) {
	set := "--settings=" + fl.file("fleet")
	assert.Contains(t, fl.run("status", set), "desk-2")
	events := fl.run("timeline", "--kind=CallEnded", "--upstream=encoder-1", set)
	assert.Contains(t, events, "CallEnded")
	assert.NotContains(t, events, "CallStarted")
	fl.waitFor("cost records", func() bool { return strings.Contains(fl.run("cost", set), "order-desk/") })
	_, err := fl.tryRun("apply", "--yes", "--base=7", set)
	assert.Error(t, err)
	out, _ := fl.tryRun("apply", "--yes", "--base=7", set)
	assert.Contains(t, out, "version 1 of")
	assert.Contains(t, out, map[bool]string{false: "by loopback", true: "by ann"}[fl.secured])
	assert.Contains(t, fl.run("apply", "--yes", set), "version 1 stays in force")
	out, err = fl.tryRun("drain", "desk-9", set)
	assert.Error(t, err)
	assert.Contains(t, out, `no process "desk-9"`)
	_, metrics := fl.status(fl.set.Fleet.Entries[0].Admin, "/metrics")
	assert.Contains(t, metrics, `citronstream_config_version 1`)
	assert.Contains(t, metrics, `citronstream_request_duration_seconds_count{rank="urgent"}`)
}

// testUnconfiguredEntry guards against keyed calls through an entry that a dead
// agent's successor doesn't ask for them, as it is not in the configuration.
func (fl *fleet) testUnconfiguredEntry(t *testing.T) {
	free := freeAddresses(t, 2)
	fl.writeProcess(settings.Process{Name: "entry-3", Zone: "zone-a", Listen: free[0], Admin: free[1]})
	fl.start("entry-3", "entry")
	fl.waitFor("reason of the unconfigured entry", func() bool {
		code, reason := fl.status(free[1], "/readyz")
		return code == http.StatusServiceUnavailable && reason == "the configuration has no entry \"entry-3\"\n"
	})
	fl.set.Fleet.Entries = append(fl.set.Fleet.Entries, citronstream.Entry{Name: "entry-3", Address: free[0]})
	before := fl.placeOrder(0, "").Execution
	// Without a caller's key the call has not run; with one, it may have run through another entry.
	for key, verdict := range map[string]string{"": "NotRun", "order-9": "MayHaveRun"} {
		ord := fl.placeOrder(len(fl.set.Fleet.Entries)-1, key)
		assert.Equal(t, http.StatusServiceUnavailable, ord.status)
		assert.Contains(t, ord.body, `"Verdict":"`+verdict+`","Code":"not-ready"`)
	}
	assert.Equal(t, before+1, fl.placeOrder(0, "").Execution, "the unconfigured entry ran nothing")
	fl.set.Fleet.Entries = fl.set.Fleet.Entries[:len(fl.set.Fleet.Entries)-1]
	fl.signal("entry-3", syscall.SIGTERM)
	assert.NoError(t, fl.waitExit("entry-3"))
}

func (fl *fleet) testAgentRestart(t *testing.T) {
	before := fl.placeOrder(0, "order-1")
	owner := before.Upstream
	fl.signal(owner, syscall.SIGKILL)
	require.Error(t, fl.waitExit(owner))
	fl.start(owner, "agent")
	fl.waitFor("all links and owners after the restart", func() bool { return fl.converged(1) })
	for entry := range 2 {
		again := fl.placeOrder(entry, "order-1")
		assert.True(t, again.replayed)
		assert.Equal(t, before.body, again.body)
	}
}

func (fl *fleet) testGracefulShutdown(t *testing.T) {
	streams := []*stream{fl.openStream(0), fl.openStream(1)}
	byOperator := []string{"writer-1", "entry-2"}
	for _, name := range byOperator {
		assert.Contains(t, fl.run("drain", name, "--settings", fl.file("fleet")), name+" drains")
	}
	var names []string
	for name := range fl.running {
		if name == "fleet" { // the stand-ins stop after the daemons
			continue
		}
		names = append(names, name)
		if !slices.Contains(byOperator, name) {
			fl.signal(name, syscall.SIGTERM)
		}
	}
	for _, st := range streams {
		st.readRest(t)
	}
	for _, name := range names {
		assert.NoError(t, fl.waitExit(name), "exit of %s", name)
	}
	fl.signal("fleet", syscall.SIGTERM)
	assert.NoError(t, fl.waitExit("fleet"))
}
