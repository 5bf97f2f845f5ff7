package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// entries returns a fleet with one entry for each handler, which serves its
// operators' address. A nil handler is an entry that does not answer.
func entries(t *testing.T, handlers ...http.HandlerFunc) *citronstream.Fleet {
	t.Helper()
	fl := &citronstream.Fleet{}
	for i, ha := range handlers {
		srv := httptest.NewServer(ha)
		if ha == nil {
			srv.Close()
		} else {
			t.Cleanup(srv.Close)
		}
		fl.Entries = append(fl.Entries, citronstream.Entry{Name: "entry-" + string(rune('1'+i)), Admin: strings.TrimPrefix(srv.URL, "http://")})
	}
	return fl
}

func answers(status int, body string) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) {
		wr.WriteHeader(status)
		_, _ = io.WriteString(wr, body)
	}
}

// Guards against a command that fails because one entry is down, and against
// a change that is sent to the next entry after it was refused.
func TestFirst(t *testing.T) {
	t.Run("skips entries that can't answer", func(t *testing.T) {
		cl := New(entries(t, nil, answers(503, "{}"), answers(404, "{}"), answers(200, "yes"), answers(200, "no")))
		got, err := cl.First(context.Background(), http.MethodGet, "/", nil)
		require.NoError(t, err)
		assert.Equal(t, "yes", string(got))
	})
	t.Run("stops at a refusal", func(t *testing.T) {
		cl := New(entries(t, answers(409, `{"detail":"lost"}`), answers(200, "yes")))
		_, err := cl.First(context.Background(), http.MethodPost, "/", "body")
		var se *StatusError
		require.True(t, errors.As(err, &se))
		assert.Equal(t, 409, se.Status)
		assert.EqualError(t, err, "lost")
	})
	t.Run("names all entries without an answer", func(t *testing.T) {
		_, err := New(entries(t, nil, answers(503, `{"detail":"leaving"}`))).First(context.Background(), http.MethodGet, "/", nil)
		assert.ErrorContains(t, err, "entry-1: ")
		assert.ErrorContains(t, err, "entry-2: leaving")
	})
}

// Guards against answers attributed to the wrong entry, and against a missing
// token.
func TestEach(t *testing.T) {
	echo := func(wr http.ResponseWriter, rq *http.Request) {
		_, _ = io.WriteString(wr, rq.Header.Get("Authorization"))
	}
	done := 0
	got := New(entries(t, echo, nil, echo), WithToken("secret")).Each(context.Background(), http.MethodGet, "/", nil, func(now, all int) {
		done = now
		assert.Equal(t, 3, all)
	})
	assert.Equal(t, 3, done)
	require.Len(t, got, 3)
	assert.Equal(t, []string{"entry-1", "entry-2", "entry-3"}, []string{got[0].Entry, got[1].Entry, got[2].Entry})
	assert.Equal(t, "Bearer secret", string(got[2].Body))
	assert.Error(t, got[1].Err)
}

// Guards against an answer that is reset before its end and is returned as a whole one. It has
// no length, and the request, such as a large configuration, is still being sent.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for range 30 {
		answer := rawanswer.New(clockwork.NewRealClock(), "HTTP/1.1 200 OK\r\n\r\npart", rawanswer.WithReset())
		got, err := New(entries(t, answer.ServeHTTP)).First(t.Context(), http.MethodPost, "/", strings.Repeat("x", 8<<20))
		assert.Error(t, err, "%s", got)
	}
}

// An answer without a length is whole if the entry ends its side of the connection.
func TestEarlyAnswerThatEnds(t *testing.T) {
	for range 30 {
		answer := rawanswer.New(clockwork.NewRealClock(), "HTTP/1.1 200 OK\r\n\r\nwhole", rawanswer.WithEnd(), rawanswer.WithReset())
		got, err := New(entries(t, answer.ServeHTTP)).First(t.Context(), http.MethodPost, "/", strings.Repeat("x", 8<<20))
		assert.NoError(t, err)
		assert.Equal(t, "whole", string(got))
	}
}

// assertInvalidHead checks that an answer with an invalid head and a sound body is none, and
// that the error names the entry.
func assertInvalidHead(t *testing.T, head string) {
	t.Helper()
	answer := rawanswer.New(clockwork.NewRealClock(), head+"\r\nyes", rawanswer.WithEnd())
	got, err := New(entries(t, answer.ServeHTTP)).First(t.Context(), http.MethodPost, "/", "body")
	assert.ErrorContains(t, err, "entry-1: ", "%s, after %q", got, head)
}

// Guards against an error without a text for an answer whose status is none.
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
