package httpsd

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	standin "github.com/citronstream/citronstream/internal/standin/httpsd"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestList(t *testing.T) {
	clk := clockwork.NewFakeClock()
	se := standin.New(clk, 10*time.Second)
	server := httptest.NewServer(se)
	defer server.Close()
	li := New(clk, server.URL)
	requireList := func(t *testing.T, want []citronstream.InstanceState) {
		got, err := li.List(t.Context())
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
	first := []citronstream.InstanceState{{Instance: "i1", Zone: "z1"}, {Instance: "i2", Zone: "z2", Leaving: true}}
	second := first[1:]

	// Guards against an empty list that makes every instance look ended.
	t.Run("empty", func(t *testing.T) {
		_, err := li.List(t.Context())
		assert.ErrorIs(t, err, citronstream.ErrUnavailable)
	})
	// Guards against a test server that shows changes at once, which hides
	// errors of clients that rely on a current list.
	t.Run("lag", func(t *testing.T) {
		se.Set(first)
		clk.Advance(10 * time.Second)
		requireList(t, first)
		se.Set(second)
		clk.Advance(9 * time.Second)
		requireList(t, first)
		clk.Advance(time.Second)
		requireList(t, second)
		assert.Equal(t, 1, se.History())
	})
	t.Run("down", func(t *testing.T) {
		se.SetDown(true)
		_, err := li.List(t.Context())
		assert.ErrorIs(t, err, citronstream.ErrUnavailable)
	})
}

// Guards against an incomplete list that is accepted as complete.
func TestInvalidAnswers(t *testing.T) {
	good := `{"targets":["t"],"labels":{"instance":"i1","zone":"z1","state":"live"}}`
	expectError := func(name, kind, body, text string, opts ...Option) {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", kind)
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			_, err := New(clockwork.NewFakeClock(), server.URL, opts...).List(t.Context())
			require.ErrorIs(t, err, citronstream.ErrUnavailable)
			assert.ErrorContains(t, err, text)
		})
	}
	expectError("too large", "application/json", "["+good+"]", "larger than 20 bytes", WithMaxBytes(20))
	expectError("truncated", "application/json", "["+good, "unexpected end")
	expectError("web page", "text/html", "["+good+"]", "content type")
	expectError("unknown state", "application/json", `[`+good+`,{"labels":{"instance":"i2","zone":"z1","state":"?"}}]`, "group 1: label state")
	expectError("no instance", "application/json", `[`+good+`,{"labels":{"zone":"z1","state":"live"}}]`, "group 1: label instance")
	expectError("two zones", "application/json", `[`+good+`,{"labels":{"instance":"i1","zone":"z2","state":"live"}}]`, "in the zones")
}

// Guards against a call that never ends because the service does not answer.
func TestTimeout(t *testing.T) {
	clk := clockwork.NewFakeClock()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	done := make(chan error, 1)
	go func() { _, err := New(clk, server.URL).List(t.Context()); done <- err }()
	require.NoError(t, clk.BlockUntilContext(t.Context(), 1))
	clk.Advance(2 * time.Second)
	assert.ErrorIs(t, <-done, citronstream.ErrUnavailable)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"targets":["t"],"labels":{"instance":"i","zone":"z","state":"leaving"}}]`))
	f.Add([]byte(`[{"labels":null},{}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		states, err := parse(body)
		if err == nil && len(states) == 0 {
			t.Fatal("empty list without an error")
		}
		for i, inst := range states {
			if inst.Instance == "" || inst.Zone == "" || i > 0 && inst.Instance <= states[i-1].Instance {
				t.Fatalf("states are not complete, distinct and in order: %v", states)
			}
		}
	})
}

// assertInvalidHead reads a list of an answer with an invalid head and a sound body.
func assertInvalidHead(t *testing.T, head string) {
	t.Helper()
	const list = "Content-Type: application/json\r\n\r\n" + `[{"targets":["t"],"labels":{"instance":"i1","zone":"z1","state":"live"}}]`
	server := httptest.NewServer(rawanswer.New(clockwork.NewRealClock(), head+list, rawanswer.WithEnd()))
	defer server.Close()
	_, err := New(clockwork.NewRealClock(), server.URL).List(t.Context())
	assert.ErrorIs(t, err, citronstream.ErrUnavailable, head)
}

// Guards against a list of an answer whose status is none.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range rawanswer.InvalidStatuses {
		t.Run(status, func(t *testing.T) { assertInvalidHead(t, "HTTP/1.1 "+status+"\r\n") })
	}
}

// Guards against an answer with a line whose name is none.
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range rawanswer.InvalidLines {
		t.Run(line, func(t *testing.T) { assertInvalidHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n") })
	}
}
