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
	textEvent = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	doneEvent = "data: [DONE]\n\n"
)

// runStream runs a call against a server that answers with the given stream.
func runStream(t testing.TB, stream string) (string, error) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, stream) }))
	pr := New()
	defer srv.Close()
	defer pr.cl.Close()
	var out strings.Builder
	_, err := pr.Run(context.Background(), srv.Listener.Addr().String(), call("p", 4), func(data []byte) error { out.Write(data); return nil })
	return out.String(), err
}

// Guards against a truncated or malformed stream that is reported as complete.
func TestBrokenStreams(t *testing.T) {
	cases := []struct {
		name, stream string
		verdict      citronstream.Verdict
		code         citronstream.Code
	}{
		{"no [DONE] event", textEvent + textEvent, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"malformed event", textEvent + "data: {\n\n" + doneEvent, citronstream.MayHaveRun, citronstream.CodeUpstreamFailed},
		{"error event", textEvent + "data: {\"error\":{\"message\":\"oom\"}}\n\n", citronstream.Ran, citronstream.CodeUpstreamFailed},
		{"event above the limit", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n" + doneEvent, citronstream.MayHaveRun, citronstream.CodeUpstreamFailed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := runStream(t, tc.stream)
			assertFault(t, err, tc.verdict, tc.code)
		})
	}
	t.Run("complete with comments and other fields", func(t *testing.T) {
		out, err := runStream(t, ": hi\nevent: x\n"+textEvent+textEvent+doneEvent)
		require.NoError(t, err)
		assert.Equal(t, "aa", out)
	})
}

// FuzzDecode guards against a panic and against text that is returned with an error.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"choices":[{"text":"a"}]}`, `{"choices":[]}`, `{"error":{}}`, `{"error":null,"usage":{"completion_tokens":1}}`, `[]`, ``} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		var usage citronstream.Usage
		if text, err := decodeEvent(data, &usage); err != nil {
			assert.Empty(t, text)
			assert.NotEqual(t, citronstream.NotRun, citronstream.VerdictOf(err))
		}
	})
}

// FuzzRequestBody guards against a panic and a request without "stream": true.
func FuzzRequestBody(f *testing.F) {
	f.Add([]byte(`{"prompt":"a","max_tokens":3}`), "b c")
	f.Add([]byte(`{"prompt":1}`), "")
	f.Add([]byte(`null`), "x")
	f.Fuzz(func(t *testing.T, body []byte, prefix string) {
		raw, finished, err := requestBody(citronstream.Call{Body: body, Prefix: prefix})
		if err == nil && !finished {
			assert.Contains(t, string(raw), `"stream":true`)
		}
	})
}

// partStream returns one part per read and counts the reads.
type partStream struct {
	memoryStream
	remaining []string
	reads     int
}

func (ps *partStream) Read(data []byte) (int, error) {
	if len(ps.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(data, ps.remaining[0])
	ps.remaining = ps.remaining[1:]
	ps.reads++
	return n, nil
}

// Guards against a text that is emitted only after a later read, and against
// several emits for the texts of one read.
func TestTextsOfOneReadAreEmittedTogether(t *testing.T) {
	type emitted struct {
		text  string
		after int // parts read
	}
	for _, tc := range []struct {
		name  string
		parts []string
		want  []emitted
	}{
		{"apart", []string{textEvent, textEvent, doneEvent}, []emitted{{"a", 1}, {"a", 2}}},
		{"together", []string{textEvent + textEvent, textEvent + doneEvent}, []emitted{{"aa", 1}, {"a", 2}}},
		{"an event in two parts", []string{textEvent + textEvent[:9], textEvent[9:], doneEvent}, []emitted{{"a", 1}, {"a", 2}}},
		{"truncated", []string{textEvent + textEvent}, []emitted{{"aa", 1}}},
		{"malformed after a text", []string{textEvent + "data: {\n\n"}, []emitted{{"a", 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := &partStream{remaining: tc.parts}
			var got []emitted
			_ = relay(t.Context(), st, &citronstream.Usage{}, func(text []byte) error {
				got = append(got, emitted{string(text), st.reads})
				return nil
			})
			assert.Equal(t, tc.want, got)
		})
	}
}

// Guards against a stream that is read on after emit failed.
func TestRefusedOutput(t *testing.T) {
	st := &partStream{remaining: []string{textEvent, textEvent, doneEvent}}
	calls := 0
	err := relay(t.Context(), st, &citronstream.Usage{}, func([]byte) error {
		calls++
		return io.ErrClosedPipe
	})
	assertFault(t, err, citronstream.MayHaveRun, citronstream.CodeCanceled)
	assert.Equal(t, 1, calls)
	assert.Equal(t, 1, st.reads)
}
