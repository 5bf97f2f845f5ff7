package gateway

import (
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// Guards against owners that open a connection for each batch, as their share among all
// entries has no room for a release beside it, and against entries that together keep
// more connections to an upstream than it accepts.
func TestIdleConnections(t *testing.T) {
	batch := &citronstream.BatchSpec{Calls: 1}
	for _, tt := range []struct {
		spec          citronstream.ServiceSpec
		entries, want int
	}{
		{citronstream.ServiceSpec{MaxConnections: 270, Engine: true}, 25, 5},
		{citronstream.ServiceSpec{MaxConnections: 71, Engine: true}, 25, 1},
		{citronstream.ServiceSpec{}, 25, 1},
		{citronstream.ServiceSpec{MaxConnections: 71, Batch: batch}, 25, 4},
		{citronstream.ServiceSpec{Batch: batch}, 25, 4},
		{citronstream.ServiceSpec{MaxConnections: 4, Batch: batch}, 25, 2},
		{citronstream.ServiceSpec{MaxConnections: 1, Batch: batch}, 25, 1},
		{citronstream.ServiceSpec{MaxConnections: 71, Batch: batch}, 2, 17},
	} {
		assert.Equal(t, tt.want, idleConns(&tt.spec, tt.entries), "%+v", tt)
	}
}
