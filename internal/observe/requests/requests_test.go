package requests

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Workspaces come from configurations without end; the series must not.
func TestSeriesAreBounded(t *testing.T) {
	me := New()
	for i := range maxSeries * 2 {
		me.Observe(Request{Service: "s", Workspace: fmt.Sprint("w", i), Outcome: "served", Took: time.Second})
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(me)
	families, err := reg.Gather()
	require.NoError(t, err)
	sum := 0.0
	for _, fa := range families {
		if fa.GetName() != "citronstream_site_requests_total" {
			continue
		}
		assert.LessOrEqual(t, len(fa.GetMetric()), maxSeries+1)
		for _, me := range fa.GetMetric() {
			sum += me.GetCounter().GetValue()
		}
	}
	assert.Equal(t, float64(maxSeries*2), sum)
}
