package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/where"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// where asks a gateway at its metrics address.
func (ts *testSite) where(en *testEntry, method string, query any) (status int, wh citronstream.Where, raw string) {
	body, err := json.Marshal(query)
	require.NoError(ts.t, err)
	answer := httptest.NewRecorder()
	en.operators().ServeHTTP(answer, httptest.NewRequest(method, "/where", bytes.NewReader(body)))
	raw = answer.Body.String()
	if answer.Code == http.StatusOK {
		require.NoError(ts.t, json.Unmarshal([]byte(raw), &wh))
	}
	return answer.Code, wh, raw
}

func draftQuery(session string) citronstream.WhereQuery {
	return citronstream.WhereQuery{Host: "h", Path: "/draft/stream/", Key: "key", Prompt: []citronstream.WherePart{
		{Name: "all", Tokens: 500}, {Name: session, Tokens: 4000}, {Name: "own-" + session, Tokens: 100},
	}}
}

// Guards against an answer that differs from what requests meet: each goes to the engine
// that was named, before and after its part is known to be there.
func TestWhereAgreesWithTheChoice(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.addEngines(6)
	ts.waitReady()
	en := ts.entries[0]
	for i := range 12 {
		session := fmt.Sprintf("s%d", i%6)
		ts.waitFor(func() bool { return en.flow.InFlight() == 0 }, "the request before has not ended")
		sent := len(ts.log.All())
		_, wh, _ := ts.where(en, http.MethodPost, draftQuery(session))
		_, again, _ := ts.where(en, http.MethodPost, draftQuery(session))
		wh.Admission, again.Admission = nil, nil // its times go on
		assert.Equal(t, wh, again, "a query changes nothing")
		assert.Len(t, ts.log.All(), sent, "a query reached an upstream")
		assert.Equal(t, i >= 6, wh.HomeKnown)
		assert.Len(t, wh.Candidates, 6)
		assert.Equal(t, wh.Chosen, wh.Candidates[0].Upstream)
		ca := ts.call(site.HeaderPrompt, fmt.Sprintf("all:500,%s:4000,own-%s:100", session, session), site.HeaderTokens, "4600,10")
		_, _ = ts.roundTrip(en, ca, http.MethodPost, "/draft/stream/", "")
		require.NotEmpty(t, ts.log.Of(ca.id))
		assert.Equal(t, wh.Chosen, ts.log.Of(ca.id)[0].Upstream)
	}
}

// Guards against candidates without the terms of their cost, and upstreams that are left
// out without a reason.
func TestWhereReasons(t *testing.T) {
	ts := newTestSite(t, 1)
	one, two, three := ts.upstream("d1", "desk"), ts.upstream("d2", "desk"), ts.upstream("d3", "desk")
	ts.waitReady()
	en := ts.entries[0]
	ts.st.List(two, site.Draining)
	ts.waitFor(func() bool { return en.view.Members().Node(two.ID).Draining }, "the draining upstream is not known")
	en.view.Members().Node(three.ID).ConnectionBroke(ts.clk.Now().Add(testTimeout))
	status, wh, _ := ts.where(en, http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/order/x", Workspace: "w"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, []string{"front-0", "order", "w", "desk", one.ID}, []string{wh.Gateway, wh.Route, wh.Workspace, wh.Service, wh.Chosen})
	require.Len(t, wh.Candidates, 1)
	sum := 0.0
	for _, te := range wh.Candidates[0].Terms {
		sum += te.Cost
	}
	assert.InDelta(t, wh.Candidates[0].Cost, sum, 1e-9)
	assert.Equal(t, []citronstream.WhereExcluded{
		{Upstream: "d2", Zone: "z", Reason: "draining"}, {Upstream: "d3", Zone: "z", Reason: "its connections broke, or it died"},
	}, wh.Excluded)
	assert.True(t, wh.Admission.Admit)
	t.Run("leaving", func(t *testing.T) {
		one.Leaving.Store(true)
		_, _ = ts.roundTrip(en, ts.call(), http.MethodPost, "/order/x", "")
		ts.waitFor(func() bool {
			leaving, _ := en.view.SelfReports()
			return leaving == 1
		}, "the upstream that leaves is not known")
		_, wh, _ := ts.where(en, http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/order/x", Workspace: "w"})
		assert.Equal(t, citronstream.WhereExcluded{Upstream: "d1", Zone: "z", Reason: "it has said that it leaves"}, wh.Excluded[0])
		assert.Equal(t, "all upstreams seem broken; a random one would be tried", wh.NoChoice)
	})
}

// Guards against an admission that differs from what requests meet, and figures of queues
// that are not those in use.
func TestWhereAdmission(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.addStageUpstreams()
	ts.waitReady()
	en := ts.entries[0]
	query := citronstream.WhereQuery{Host: "h", Path: "/staged/stream/", Key: "key", LeftMs: 6000}
	_, wh, _ := ts.where(en, http.MethodPost, query)
	assert.True(t, wh.Admission.Admit, wh.Admission.Reason)
	require.Len(t, wh.Queues, 2)
	assert.Equal(t, "cut", wh.Queues[0].Service)
	assert.True(t, wh.Queues[0].Own)
	var load citronstream.QueueLoad
	load.Rate = 1
	load.Add(0, 0, 60)
	en.broker.UpdateLoads(citronstream.QueueLoads{Loads: map[string]citronstream.QueueLoad{"cut": load}})
	_, wh, _ = ts.where(en, http.MethodPost, query)
	assert.False(t, wh.Admission.Admit)
	assert.Equal(t, "cut", wh.Admission.WaitFor)
	assert.Positive(t, wh.Admission.RetryAfterMs)
	assert.Equal(t, 60, wh.Queues[0].Waiting)
	assert.InDelta(t, 60000, wh.Queues[0].WaitMs, 1)
	res, _ := ts.roundTrip(en, ts.stagedCall(), http.MethodPost, "/staged/stream/", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	_, wh, _ = ts.where(en, http.MethodPost, citronstream.WhereQuery{Job: &citronstream.WhereJob{Service: "cut", SlackMs: 500}})
	require.Len(t, wh.Queues, 1)
	assert.True(t, wh.Queues[0].Known)
	assert.Equal(t, en.site.Peers, wh.Queues[0].Owner)
}

// Each query that has no answer is told why.
func TestWhereErrors(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	for _, one := range []struct {
		status int
		query  any
		want   string
	}{
		{http.StatusNotFound, citronstream.WhereQuery{Host: "h", Path: "/none/", Key: "key"}, "no route"},
		{http.StatusUnauthorized, citronstream.WhereQuery{Host: "h", Path: "/order/", Key: "other"}, "unknown API key"},
		{http.StatusUnauthorized, citronstream.WhereQuery{Host: "h", Path: "/order/", Workspace: "v"}, "workspace v"},
		{http.StatusNotFound, citronstream.WhereQuery{Host: "h", Path: "/order/", Key: "key", Service: "pool"}, "no service pool"},
		{http.StatusNotFound, citronstream.WhereQuery{Job: &citronstream.WhereJob{Service: "desk"}}, "no queue"},
		{http.StatusBadRequest, map[string]int{"Paths": 1}, "malformed"},
		{http.StatusBadRequest, citronstream.WhereQuery{Path: strings.Repeat("x", maxWhereBytes)}, "malformed"},
	} {
		status, _, raw := ts.where(ts.entries[0], http.MethodPost, one.query)
		assert.Equal(t, one.status, status, raw)
		assert.Contains(t, raw, one.want)
	}
	status, wh, _ := ts.where(ts.entries[0], http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/once/stream/", Key: "key"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "no upstream of service pool is known", wh.NoChoice)
	t.Run("not ready", func(t *testing.T) {
		ts := newTestSite(t, 0)
		ts.st.Unconfigure()
		status, _, raw := ts.where(ts.startEntry(), http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/order/"})
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Contains(t, raw, "not ready")
	})
}

// Guards against a command and a gateway that do not understand each other, and metrics
// that are no longer served beside the queries.
func TestWhereCommand(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	hs := httptest.NewServer(ts.entries[0].operators())
	defer hs.Close()
	var text bytes.Buffer
	co := where.Command{Gateway: strings.TrimPrefix(hs.URL, "http://"), Host: "h", Path: "/order/", Key: "key", Part: []string{"a:1", "b:2"}, Timeout: testTimeout}
	require.NoError(t, co.Run(t.Context(), &text))
	assert.Regexp(t, `(?m)^upstream +d1$`, text.String())
	co.Path = "/none/"
	assert.ErrorContains(t, co.Run(t.Context(), &text), "no route matches")
	res, err := http.Get(hs.URL + "/metrics")
	require.NoError(t, err)
	_ = res.Body.Close()
	ts.assertStatus(http.StatusOK, res)
	res, err = http.Get(hs.URL + "/where")
	require.NoError(t, err)
	_ = res.Body.Close()
	ts.assertStatus(http.StatusMethodNotAllowed, res)
}

// Guards against candidates in regions where a request may not run.
func TestWhereRegions(t *testing.T) {
	ts := newRegionSite(t)
	east := ts.upstreamIn("z", "d1", "desk")
	ts.upstreamIn("y", "d2", "desk")
	ts.waitReady()
	for _, en := range ts.entries {
		status, wh, raw := ts.where(en, http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/east/", Key: "key"})
		require.Equal(t, http.StatusOK, status, raw)
		assert.Equal(t, []string{"east", east.ID}, []string{wh.Regions, wh.Chosen})
		assert.Equal(t, []citronstream.WhereExcluded{{Upstream: "d2", Zone: "y", Reason: "outside of the allowed regions"}}, wh.Excluded)
	}
	ts.st.List(east, site.Draining)
	en := ts.entries[0]
	ts.waitFor(func() bool { return en.view.Members().Node(east.ID).Draining }, "the draining upstream is not known")
	_, wh, _ := ts.where(en, http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/east/", Key: "key"})
	assert.False(t, wh.Admission.Admit)
	assert.Contains(t, wh.Admission.Reason, "allowed regions (east)")
	assert.Empty(t, wh.Chosen)
	assert.NotEmpty(t, wh.NoChoice)
}

// Guards against an upstream that is left out for its connections without a reason.
func TestWhereConnectionsUsed(t *testing.T) {
	ts := newTestSite(t, 1)
	one := ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	nd := en.view.Members().Node(one.ID)
	for range 40 { // four fifths of 50
		nd.Begin()
		defer nd.End()
	}
	_, wh, _ := ts.where(en, http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/order/x", Workspace: "w"})
	assert.Empty(t, wh.Chosen)
	require.Len(t, wh.Excluded, 1)
	assert.Equal(t, "the connections to it that are this gateway's share are in use", wh.Excluded[0].Reason)
}
