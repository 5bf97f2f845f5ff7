package cost

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeEntry serves the records of a table in pages of two.
type fakeEntry struct {
	t     *testing.T
	clk   citronstream.Clock
	table citronstream.Table
	pages int
}

func (en *fakeEntry) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	en.pages++
	deltas, err := ledger.Read(rq.Context(), en.table, en.clk.Now(), rq.URL.Query().Get("after"), 2)
	assert.NoError(en.t, err)
	assert.NoError(en.t, ledger.Export(wr, deltas))
}

// Guards against a report or an export with only the first page of the day's records.
func TestPages(t *testing.T) {
	raw, err := os.ReadFile("../../../examples/magnolia.json")
	require.NoError(t, err)
	set, _, _ := settings.Decode(raw)
	clk := clockwork.NewFakeClock()
	en := &fakeEntry{t: t, clk: clk, table: memtable.New(clk)}
	for _, process := range []string{"entry-1", "writer-1", "writer-2", "writer-3", "writer-4"} {
		le := ledger.New(en.table, clk, process, 1)
		le.Add(ledger.Key{Side: ledger.SideAgent, Owner: "magnolia"}, ledger.Counts{Calls: 1})
		require.NoError(t, le.Flush(t.Context()))
	}
	srv := httptest.NewServer(en)
	defer srv.Close()
	set.Fleet.Entries[0].Admin = strings.TrimPrefix(srv.URL, "http://")
	set.Fleet.Entries = set.Fleet.Entries[:1]
	doc, err := set.Encode()
	require.NoError(t, err)
	dir := t.TempDir()
	co := Command{Export: filepath.Join(dir, "export.jsonl"), JSON: true}
	co.Settings, co.Timeout = filepath.Join(dir, "fleet.json"), time.Minute
	require.NoError(t, os.WriteFile(co.Settings, doc, 0o600))
	var out bytes.Buffer
	require.NoError(t, co.Run(t.Context(), &out, operate.NewLoader(check.New())))
	assert.Contains(t, out.String(), `"Records":5`)
	assert.Equal(t, 4, en.pages)
	export, err := os.Open(co.Export)
	require.NoError(t, err)
	defer export.Close()
	re, err := ledger.Recompute(export)
	require.NoError(t, err)
	assert.EqualValues(t, 5, re.Total.Agent.Calls)
}
