package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// encodedBytes returns the size of a notification as it is sent, without its length and the
// headers of TCP.
func encodedBytes(t *testing.T, method string, params any) int {
	raw, err := json.Marshal(params)
	require.NoError(t, err)
	return len(raw) + len(`{"jsonrpc":"2.0","method":"","params":}`) + len(method)
}

// Guards against loads whose bytes for all peers together grow with the fleet beyond the
// smallest link. Engines and requests grow with the number of gateways: 1.6 engines, 2.6
// requests/s and 21 requests in flight for each, as with 100 gateways and 260 requests/s.
func TestLoadsFitTheSmallestLink(t *testing.T) {
	const (
		smallest = 10e6 / 8 // bytes/s
		share    = 0.35     // of it for what one gateway sends of its loads
		inFlight = 21
		perS     = 2.6
	)
	for _, gateways := range []int{25, 100, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			interval := (time.Duration((gateways+peersPerTick-1)/peersPerTick) * tickInterval).Seconds()
			load := citronstream.EntryLoad{Engines: make(map[string]citronstream.EngineLoad), Speeds: make(map[string]citronstream.SpeedReport)}
			for i := range min(inFlight, gateways*16/10) {
				load.Engines[fmt.Sprintf("i-0a1b2c3d4e5f%04d", i)] = citronstream.EngineLoad{Running: 1, PrefillTokens: 12345}
			}
			for i := range int(math.Ceil(perS * interval)) {
				load.Cached = append(load.Cached, citronstream.CachedPart{Part: math.MaxUint64, Engine: fmt.Sprintf("i-0a1b2c3d4e5f%04d", i), StartedMs: 1796512345678})
				load.Speeds[fmt.Sprintf("i-0a1b2c3d4e5f%04d", i)] = citronstream.SpeedReport{Time: 1.0123456789012345, Samples: 12.345678901234567}
			}
			queues := citronstream.QueueLoads{Loads: map[string]citronstream.QueueLoad{
				"stage-one": {Rate: 1234.5678901234567, Arrivals: [citronstream.Ranks]float64{12.345678901234567, 1, 2, 3}},
			}}
			entry, queue := encodedBytes(t, citronstream.MethodEntryLoad, load), encodedBytes(t, citronstream.MethodQueueLoads, queues)
			perPeer := float64(entry+queue) / interval
			all := perPeer * float64(gateways-1)
			t.Logf("EntryLoad %d bytes, QueueLoads %d bytes, each %.1f s: %.0f bytes/s to each peer, %.0f KB/s to all", entry, queue, interval, perPeer, all/1000)
			assert.Less(t, all, share*smallest)
		})
	}
}

// Guards against rows for peers that take much more than the rows themselves: one that reads
// the store tells all others of each heartbeat.
func TestBytesOfARow(t *testing.T) {
	up := site.NewUpstream(clockwork.NewRealClock(), nil, "i-0a1b2c3d4e5f0001", "pool")
	defer up.Close()
	value := up.Row(site.Ready)
	row := citronstream.Change{Row: citronstream.Row{Key: "servers/" + up.ID, Version: 123456789, Value: []byte(value)}}
	one := citronstream.Rows{Changes: []citronstream.Change{row}}
	two := citronstream.Rows{Changes: []citronstream.Change{row, row}}
	bytes := encodedBytes(t, citronstream.MethodRows, two) - encodedBytes(t, citronstream.MethodRows, one)
	t.Logf("%d bytes for a row of %d: 160 upstreams each 1.2 s take %.1f KB/s to each peer", bytes, len(value), 160/1.2*float64(bytes)/1000)
	const perRow = 65 // the names of the fields, key and version
	assert.LessOrEqual(t, bytes, (len(value)+2)/3*4+len(row.Key)+perRow)
}
