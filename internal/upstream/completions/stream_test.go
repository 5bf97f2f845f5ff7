package completions

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	one     = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	doneEnd = "data: [DONE]\n\n"
)

// runStream runs a call against a server that answers with a fixed stream.
func runStream(t testing.TB, stream string) (string, error) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, stream) }))
	pr := New()
	defer srv.Close()
	defer pr.cl.Close()
	var out strings.Builder
	_, err := pr.Run(context.Background(), srv.Listener.Addr().String(), call("p", 4), func(data []byte) error { out.Write(data); return nil })
	return out.String(), err
}

// A stream that ends early must not pass as a complete answer.
func TestBrokenStreams(t *testing.T) {
	cases := []struct {
		name, stream string
		verdict      citronstream.Verdict
		code         citronstream.Code
	}{
		{"no end mark", one + one, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"malformed event", one + "data: {\n\n" + doneEnd, citronstream.MayHaveRun, citronstream.CodeUpstreamFailed},
		{"error event", one + "data: {\"error\":{\"message\":\"oom\"}}\n\n", citronstream.Ran, citronstream.CodeUpstreamFailed},
		{"event above the limit", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n" + doneEnd, citronstream.MayHaveRun, citronstream.CodeUpstreamFailed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := runStream(t, tc.stream)
			assertFault(t, err, tc.verdict, tc.code)
		})
	}
	t.Run("complete with comments and other fields", func(t *testing.T) {
		out, err := runStream(t, ": hi\nevent: x\n"+one+one+doneEnd)
		require.NoError(t, err)
		assert.Equal(t, "aa", out)
	})
}

// FuzzDecode guards against a panic and against text next to an error.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"choices":[{"text":"a"}]}`, `{"choices":[]}`, `{"error":{}}`, `{"error":null,"usage":{"completion_tokens":1}}`, `[]`, ``} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		var us citronstream.Usage
		if text, err := decode(data, &us); err != nil {
			assert.Empty(t, text)
			assert.NotEqual(t, citronstream.NotRun, citronstream.VerdictOf(err))
		}
	})
}

// FuzzRequestBody guards against a panic and a request without streaming.
func FuzzRequestBody(f *testing.F) {
	f.Add([]byte(`{"prompt":"a","max_tokens":3}`), "b c")
	f.Add([]byte(`{"prompt":1}`), "")
	f.Add([]byte(`null`), "x")
	f.Fuzz(func(t *testing.T, body []byte, prefix string) {
		made, finished, err := requestBody(citronstream.Call{Body: body, Prefix: prefix})
		if err == nil && !finished {
			assert.Contains(t, string(made), `"stream":true`)
		}
	})
}

// partStream gives one part for each read and notes how many were read.
type partStream struct {
	memoryStream
	left []string
	read int
}

func (ps *partStream) Read(to []byte) (int, error) {
	if len(ps.left) == 0 {
		return 0, io.EOF
	}
	n := copy(to, ps.left[0])
	ps.left = ps.left[1:]
	ps.read++
	return n, nil
}

// Guards against a text that waits for a later part of the stream, and
// against several emits for texts that came in one part.
func TestTextsThatCameTogether(t *testing.T) {
	type emitted struct {
		text  string
		after int // parts read
	}
	for _, tc := range []struct {
		name  string
		parts []string
		want  []emitted
	}{
		{"apart", []string{one, one, doneEnd}, []emitted{{"a", 1}, {"a", 2}}},
		{"together", []string{one + one, one + doneEnd}, []emitted{{"aa", 1}, {"a", 2}}},
		{"an event in two parts", []string{one + one[:9], one[9:], doneEnd}, []emitted{{"a", 1}, {"a", 2}}},
		{"broken off", []string{one + one}, []emitted{{"aa", 1}}},
		{"malformed after a text", []string{one + "data: {\n\n"}, []emitted{{"a", 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := &partStream{left: tc.parts}
			var got []emitted
			_ = relay(t.Context(), st, &citronstream.Usage{}, func(text []byte) error {
				got = append(got, emitted{string(text), st.read})
				return nil
			})
			assert.Equal(t, tc.want, got)
		})
	}
}

// Guards against a stream that goes on after its output was refused.
func TestRefusedOutput(t *testing.T) {
	st := &partStream{left: []string{one, one, doneEnd}}
	calls := 0
	err := relay(t.Context(), st, &citronstream.Usage{}, func([]byte) error {
		calls++
		return io.ErrClosedPipe
	})
	assertFault(t, err, citronstream.MayHaveRun, citronstream.CodeCanceled)
	assert.Equal(t, 1, calls)
	assert.Equal(t, 1, st.read)
}
