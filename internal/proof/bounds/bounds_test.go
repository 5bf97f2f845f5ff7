package bounds

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a table that passes a broken bound or one that was not measured.
func TestTable(t *testing.T) {
	one, two := 1.0, 2.0
	re, err := Parse(strings.NewReader("goos: linux\nBenchmarkA/x=1-10 \t 100\t 3.0 ns/op\t 0 allocs/op\nBenchmarkB \t 5\t 6.0 ns/op\nPASS\n"))
	require.NoError(t, err)
	for _, tc := range []struct {
		bo      Bound
		verdict string
	}{
		{Bound{Benchmark: "BenchmarkA/x=1", Unit: "ns/op", Max: &two}, "BROKEN"},
		{Bound{Benchmark: "BenchmarkA/x=1", Unit: "ns/op", Max: &two, Margin: 1.5}, "within the margin"},
		{Bound{Benchmark: "BenchmarkB", Over: "BenchmarkA/x=1", Unit: "ns/op", Max: &one}, "BROKEN"},
		{Bound{Benchmark: "BenchmarkB", Over: "BenchmarkA/x=1", Unit: "ns/op", Max: &two}, "holds"},
		{Bound{Benchmark: "BenchmarkA/x=1", Unit: "allocs/op", Max: new(float64)}, "holds"},
		{Bound{Benchmark: "BenchmarkB", Unit: "ns/op", Max: new(float64)}, "BROKEN"},
		{Bound{Benchmark: "BenchmarkB", Unit: "ns/op", Min: &two}, "holds"},
		{Bound{Benchmark: "BenchmarkC", Unit: "ns/op", Max: &two}, "NOT MEASURED"},
	} {
		var out strings.Builder
		broken, err := (&Bounds{[]Bound{tc.bo}}).Table(&out, re)
		require.NoError(t, err)
		assert.Contains(t, out.String(), tc.verdict)
		assert.Equal(t, strings.ToUpper(tc.verdict) == tc.verdict, broken == 1, tc.verdict)
	}
}
