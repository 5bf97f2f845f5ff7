package apply

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeEntry serves version 3 of the example with another site name and counts
// the configurations submitted to it.
type fakeEntry struct {
	set       *settings.Settings
	submitted int
	conflict  bool // another change was accepted first
}

func (en *fakeEntry) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.Method == http.MethodGet {
		fl := *en.set.Fleet
		fl.Site = "before"
		_ = json.NewEncoder(wr).Encode(report.Config{Record: version.Record{Version: 3}, Fleet: &fl})
		return
	}
	en.submitted++
	if en.conflict {
		wr.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(wr).Encode(report.Conflict{Base: 3, Winner: version.Record{Version: 4, Author: "ann", OpID: "op-9"}, Changes: []string{"Site changed"}})
		return
	}
	_ = json.NewEncoder(wr).Encode(report.Applied{Version: 4})
}

// run applies the example to an entry; in is what the operator answers to the
// request for confirmation.
func run(t *testing.T, en *fakeEntry, co Command, in string) (string, error) {
	t.Helper()
	raw, err := os.ReadFile("../../../examples/magnolia.json")
	require.NoError(t, err)
	en.set, _, _ = settings.Decode(raw)
	srv := httptest.NewServer(en)
	defer srv.Close()
	en.set.Fleet.Entries[0].Admin = strings.TrimPrefix(srv.URL, "http://")
	en.set.Fleet.Entries = en.set.Fleet.Entries[:1]
	doc, err := en.set.Encode()
	require.NoError(t, err)
	co.Settings, co.Timeout, co.in = filepath.Join(t.TempDir(), "fleet.json"), time.Minute, strings.NewReader(in)
	require.NoError(t, os.WriteFile(co.Settings, doc, 0o600))
	var out bytes.Buffer
	err = co.Run(context.Background(), io.Writer(&out), operate.NewLoader(check.New()))
	return out.String(), err
}

// Guards against applying a change that the operator has not seen or confirmed.
func TestApply(t *testing.T) {
	t.Run("confirmed", func(t *testing.T) {
		en := &fakeEntry{}
		out, err := run(t, en, Command{}, "y\n")
		require.NoError(t, err)
		assert.Contains(t, out, `Site: "before" -> "magnolia"`)
		assert.Contains(t, out, "replace version 3? [y/N] ")
		assert.Contains(t, out, "version 4 accepted")
		assert.Equal(t, 1, en.submitted)
	})
	for _, in := range []string{"", "n\n", "yes please\n"} {
		t.Run("not confirmed by "+in, func(t *testing.T) {
			en := &fakeEntry{}
			_, err := run(t, en, Command{}, in)
			assert.ErrorContains(t, err, "nothing was changed")
			assert.Zero(t, en.submitted)
		})
	}
	t.Run("conflict error names the accepted version and the difference", func(t *testing.T) {
		_, err := run(t, &fakeEntry{conflict: true}, Command{Yes: true}, "")
		for _, part := range []string{"version 3", "version 4", "by ann", "operation op-9", "Site changed", "nothing was changed"} {
			assert.ErrorContains(t, err, part)
		}
	})
	t.Run("JSON", func(t *testing.T) {
		out, err := run(t, &fakeEntry{}, Command{Yes: true, JSON: true}, "")
		require.NoError(t, err)
		var oc outcome
		require.NoError(t, json.Unmarshal([]byte(out), &oc))
		assert.Equal(t, []uint64{3, 4}, []uint64{oc.Base, oc.Version})
		assert.Len(t, oc.Difference.Changes, 1)
		_, err = run(t, &fakeEntry{}, Command{JSON: true}, "y\n")
		assert.ErrorContains(t, err, "needs --yes")
	})
}
