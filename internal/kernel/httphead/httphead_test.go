package httphead

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

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
	for _, status := range []string{"000", "000 OK", "001 No", "099 No", "+00 No", "-01 No", "0 No"} {
		assertRefused(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
	}
	for _, status := range []string{"200", "200 OK", "404 No", "599 No", "999 No"} {
		body, err := get(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
		require.NoError(t, err, status)
		assert.Equal(t, "ok", body)
	}
}
