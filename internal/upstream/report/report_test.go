package report

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReader guards against paths and formats that differ from the upstreams'.
func TestReader(t *testing.T) {
	clk, rd := clockwork.NewRealClock(), New()
	defer rd.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	en := engine.New(clk, "e", record.New(clk), engine.WithScale(0))
	require.NoError(t, en.Start(ctx, "127.0.0.1:0"))
	se := service.New(clk, "s", record.New(clk), service.WithLoadReport())
	require.NoError(t, se.Start(ctx, "127.0.0.1:0"))
	events, err := rd.CacheEvents(ctx, en.Address(), 0)
	assert.NoError(t, err)
	assert.Empty(t, events)
	_, err = rd.EngineLoad(ctx, en.Address())
	assert.NoError(t, err)
	_, err = rd.ServiceLoad(ctx, se.Address())
	assert.NoError(t, err)
	_, err = rd.ServiceLoad(ctx, en.Address())
	assert.Error(t, err, "an engine has no GET /load")
	lo, err := parseMetrics([]byte("# TYPE engine_requests_running gauge\nengine_requests_running 3\n# TYPE engine_requests_waiting gauge\nengine_requests_waiting 4\n"))
	assert.NoError(t, err)
	assert.Equal(t, Load{Running: 3, Waiting: 4}, lo)
}

// FuzzMetrics guards against values out of bounds from a malformed report.
func FuzzMetrics(f *testing.F) {
	f.Add([]byte("engine_requests_running NaN\n"))
	f.Add([]byte("# TYPE engine_requests_running gauge\nengine_requests_running -1e300\nengine_requests_waiting 1e300\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		lo, err := parseMetrics(body)
		if err == nil && (lo != clamp(lo)) {
			t.Fatalf("%+v", lo)
		}
	})
}

// assertInvalidHead reads reports whose answers have an invalid head and a sound body.
func assertInvalidHead(t *testing.T, head string) {
	t.Helper()
	for _, body := range []string{`{"Running":1,"Waiting":2}`, `{"events":[{"seq":1,"kind":"stored","block":2}]}`, "engine_requests_running 3\n"} {
		srv := httptest.NewServer(rawanswer.New(clockwork.NewRealClock(), head+"\r\n"+body, rawanswer.WithEnd()))
		rd, address := New(), srv.Listener.Addr().String()
		_, err := rd.ServiceLoad(t.Context(), address)
		assert.Error(t, err, head)
		_, err = rd.EngineLoad(t.Context(), address)
		assert.Error(t, err, head)
		_, err = rd.CacheEvents(t.Context(), address, 0)
		assert.Error(t, err, head)
		rd.Close()
		srv.Close()
	}
}

// Guards against a report of an answer whose status is none.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range rawanswer.InvalidStatuses {
		t.Run(status, func(t *testing.T) { assertInvalidHead(t, "HTTP/1.1 "+status+"\r\n") })
	}
}

// Guards against a report of an answer with a line whose name is none.
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range rawanswer.InvalidLines {
		t.Run(line, func(t *testing.T) { assertInvalidHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n") })
	}
}
