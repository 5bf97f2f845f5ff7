package requests

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against unbounded series: the configuration may have any number of
// workspaces.
func TestSeriesAreBounded(t *testing.T) {
	mt := New()
	for i := range maxLabelSets * 2 {
		mt.Observe(Request{Service: "s", Workspace: fmt.Sprint("w", i), Outcome: "served", Took: time.Second})
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(mt)
	families, err := reg.Gather()
	require.NoError(t, err)
	sum := 0.0
	for _, fa := range families {
		if fa.GetName() != "citronstream_site_requests_total" {
			continue
		}
		assert.LessOrEqual(t, len(fa.GetMetric()), maxLabelSets+1)
		for _, sr := range fa.GetMetric() {
			sum += sr.GetCounter().GetValue()
		}
	}
	assert.Equal(t, float64(maxLabelSets*2), sum)
}
