package status

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/operator/client"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func answer(t *testing.T, name string, st report.Status) client.Answer {
	t.Helper()
	body, err := json.Marshal(st)
	require.NoError(t, err)
	return client.Answer{Entry: name, Body: body}
}

// Guards against a summary that omits a process without an answer, counts an agent
// once for each entry, or shows one entry's state of an upstream as that of all.
func TestSummary(t *testing.T) {
	fl := &citronstream.Fleet{Upstreams: []citronstream.Upstream{{Name: "desk-1"}, {Name: "desk-2"}}}
	agent := report.Status{Process: "desk-1", Version: 2, Load: &citronstream.Load{Slots: []int{1, 2}}}
	view := func(state string) report.Status {
		return report.Status{Process: "entry", Version: 3, Agents: []report.Status{agent}, Upstreams: []report.Upstream{{Name: "desk-1", State: state}, {Name: "desk-2", State: "gone"}}}
	}
	su := summarise(fl, []client.Answer{answer(t, "entry-1", view("live")), answer(t, "entry-2", view("leaving")), {Entry: "entry-3", Err: errors.New("refused")}})
	assert.Equal(t, []string{"desk-2"}, su.Silent)
	assert.Len(t, su.Agents, 1)
	assert.Equal(t, map[uint64]int{2: 1, 3: 2}, su.Versions)
	assert.Equal(t, "refused", su.Entries[2].Error)
	assert.Equal(t, map[string]string{"desk-1": "leaving (1), live (1)", "desk-2": "gone"}, su.states())
	var out bytes.Buffer
	require.NoError(t, su.write(&out))
	assert.Regexp(t, `entry-3 +no answer`, out.String())
	assert.Regexp(t, `desk-2 +no answer .* gone`, out.String())
}
