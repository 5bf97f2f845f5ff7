package httphead

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// get requests an answer with this text through a Transport.
func get(t *testing.T, text string) (string, error) {
	t.Helper()
	srv := httptest.NewServer(rawanswer.New(clockwork.NewRealClock(), text, rawanswer.WithEnd()))
	defer srv.Close()
	client := &http.Client{Transport: New(&http.Transport{})}
	defer client.CloseIdleConnections()
	res, err := client.Get(srv.URL)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

func assertRefused(t *testing.T, text string) {
	t.Helper()
	body, err := get(t, text)
	assert.Error(t, err, "body %q, after %q", body, text)
}

// Guards against a status that is none.
func TestStatus(t *testing.T) {
	for _, status := range rawanswer.InvalidStatuses {
		assertRefused(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
	}
	for _, status := range []string{"200", "200 OK", "404 No", "599 No", "999 No"} {
		body, err := get(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
		require.NoError(t, err, status)
		assert.Equal(t, "ok", body)
	}
}

// Guards against a line whose name is none. One that begins with a blank has no name: it goes
// on with the value of the line before.
func TestFieldNames(t *testing.T) {
	for _, line := range append([]string{" A: c", "\tA: c", " : c"}, rawanswer.InvalidLines...) {
		t.Run(line, func(t *testing.T) { assertRefused(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok") })
	}
	for _, lines := range []string{"A: b c\r\n", "!#$%&'*+-.^_`|~09Az: b\r\n", "A: b\r\n C: d\r\n", "A:b\r\n"} {
		body, err := get(t, "HTTP/1.1 200 OK\r\n"+lines+"Content-Length: 2\r\n\r\nok")
		require.NoError(t, err, lines)
		assert.Equal(t, "ok", body)
	}
}

// Guards against a connection that is used again after an answer without a body was refused.
// The stand-in answers one request a connection.
func TestConnectionOfARefusedAnswer(t *testing.T) {
	srv := httptest.NewServer(rawanswer.New(clockwork.NewRealClock(), "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n"))
	defer srv.Close()
	client := &http.Client{Transport: New(&http.Transport{}), Timeout: 10 * time.Second}
	for range 3 {
		_, err := client.Get(srv.URL)
		assert.ErrorContains(t, err, "invalid name")
	}
}
