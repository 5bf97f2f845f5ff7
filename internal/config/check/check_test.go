package check

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func checker() *Checker {
	return New(WithProtocols("completions", "jsonpost", "plain"), WithPolicies("nearest", "prefix"))
}

func example(t testing.TB, name string) string {
	raw, err := os.ReadFile("../../../examples/" + name + ".json")
	require.NoError(t, err)
	return string(raw)
}

func texts(faults []Fault) []string {
	var list []string
	for _, fa := range faults {
		list = append(list, fa.String())
	}
	return list
}

// Guards against examples that the checker rejects.
func TestExamples(t *testing.T) {
	for _, name := range []string{"magnolia", "nullagine", "full"} {
		t.Run(name, func(t *testing.T) {
			_, faults := checker().Settings([]byte(example(t, name)))
			assert.Empty(t, texts(faults))
		})
	}
}

// edit is one replacement in the text of an example.
type edit struct{ old, new string }

func assertFaults(t *testing.T, text string, want ...string) {
	t.Helper()
	_, faults := checker().Settings([]byte(text))
	got := texts(faults)
	assert.Len(t, got, len(want), "%q", got)
	for i, part := range want {
		if i < len(got) {
			assert.Contains(t, got[i], part)
		}
	}
}

// Each case guards against accepting a document that would fail in a process later, and
// against reporting a second fault that only follows from the first.
func TestBrokenVariants(t *testing.T) {
	for _, ca := range variants {
		t.Run(ca.name, func(t *testing.T) {
			text := example(t, "magnolia")
			for _, ed := range ca.edits {
				require.Contains(t, text, ed.old)
				text = strings.Replace(text, ed.old, ed.new, 1)
			}
			assertFaults(t, text, ca.want...)
		})
	}
}

// Guards against a report that stops at the first fault or has an unstable order.
func TestAllFaultsInOneReport(t *testing.T) {
	text := example(t, "magnolia")
	total := 0
	for _, ca := range variants {
		if !ca.combinable {
			continue
		}
		for _, ed := range ca.edits {
			require.Contains(t, text, ed.old, ca.name)
			text = strings.Replace(text, ed.old, ed.new, 1)
		}
		total += len(ca.want)
	}
	_, faults := checker().Settings([]byte(text))
	got := texts(faults)
	assert.GreaterOrEqual(t, total, 10)
	assert.Len(t, got, total, "%s", strings.Join(got, "\n"))
	for range 5 {
		_, again := checker().Settings([]byte(text))
		assert.Equal(t, faults, again)
	}
}

// Guards against a wrong position in the report of a truncated file.
func TestTruncated(t *testing.T) {
	text := example(t, "magnolia")
	for _, cut := range []int{0, 1, 2, 100, len(text) / 2, len(text) - 3} {
		_, faults := checker().Settings([]byte(text[:cut]))
		require.NotEmpty(t, faults)
		line := 1 + strings.Count(text[:cut], "\n")
		assert.Contains(t, faults[len(faults)-1].String(), fmt.Sprintf("truncated: unexpected end of JSON input (line %d, byte %d)", line, cut))
	}
}

// Guards against a report that prints a token that was put under the wrong key.
func TestSecretsAreNotPrinted(t *testing.T) {
	const secret = "hunter2-secret"
	for _, text := range []string{
		`{"Process":{"Tokens":{"Operators":[{"Name":"kim","TokenSHA256":"` + secret + `"}]}}}`,
		`{"Process":{"Tokens":{"PeerTokenEnv":"` + secret + `"}}}`,
		`{"Process":{"Tokens":"` + secret + `"}}`,
		`{"Platform":{"Table":{"Protocol":"dynamodb","Endpoint":"http://me:` + secret + `@10.0.0.1"}}}`,
		`{"Fleet":{"Workspaces":[{"TokenSHA256":"` + secret + `"}]}}`,
	} {
		_, faults := checker().Settings([]byte(text))
		assert.NotEmpty(t, faults)
		assert.NotContains(t, strings.Join(texts(faults), "\n"), secret)
	}
}

// Guards against a panic on untrusted input, and against a valid document that can't be
// encoded and decoded again.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(example(f, "magnolia")))
	for _, ca := range variants {
		f.Add([]byte(ca.edits[0].new))
	}
	f.Add([]byte(`{"Fleet":{"Pipelines":[{"Stages":[{"After":["a"]}]}],"Ranks":[{"Deadline":1}]},"Process":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		se, faults := checker().Settings(data)
		if Failed(faults) || se.Fleet == nil {
			return
		}
		again, err := se.Encode()
		require.NoError(t, err)
		_, faults = checker().Settings(again)
		require.False(t, Failed(faults), "%q", texts(faults))
	})
}

// BenchmarkFullSize measures decoding and checking examples/full.json.
func BenchmarkFullSize(b *testing.B) {
	data := []byte(example(b, "full"))
	ch := checker()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := ch.Settings(data); len(faults) > 0 {
			b.Fatal(texts(faults))
		}
	}
}
