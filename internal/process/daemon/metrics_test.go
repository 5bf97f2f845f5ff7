package daemon

import (
	"net/http"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testMetrics guards against metrics on the operations page that entries or agents
// don't serve, and against served metrics that the page doesn't list.
func (fl *fleet) testMetrics(t *testing.T) {
	raw, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	listed := map[string]map[string]bool{"entry": {}, "agent": {}}
	for _, row := range regexp.MustCompile("(?m)^\\| `(citronstream_[a-z_]+)` \\| (\\w+) \\|").FindAllStringSubmatch(string(raw), -1) {
		for role, names := range listed {
			if row[2] == role || row[2] == "all" {
				names[row[1]] = true
			}
		}
	}
	served := map[string]map[string]bool{"entry": {}, "agent": {}}
	scrape := func(role, address string) {
		code, text := fl.status(address, "/metrics")
		require.Equal(t, http.StatusOK, code, text)
		for _, match := range regexp.MustCompile(`(?m)^# TYPE (citronstream_\w+) `).FindAllStringSubmatch(text, -1) {
			served[role][match[1]] = true
		}
	}
	for _, en := range fl.set.Fleet.Entries {
		scrape("entry", en.Admin)
	}
	for _, address := range fl.admins {
		scrape("agent", address)
	}
	assert.Equal(t, listed, served)
}
