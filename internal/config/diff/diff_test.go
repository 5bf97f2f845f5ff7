package diff

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronstream/citronstream"
)

func fleet() *citronstream.Fleet {
	return &citronstream.Fleet{
		Version:    7,
		Site:       "x",
		Ranks:      []citronstream.Rank{{Name: "urgent"}, {Name: "batch"}},
		Workspaces: []citronstream.Workspace{{Name: "w", TokenSHA256: strings.Repeat("a", 64)}},
		Services:   []citronstream.Service{{Name: "desk", Calls: []citronstream.ServiceCall{{Name: "order", Cost: 1}, {Name: "look"}}}},
		Upstreams:  []citronstream.Upstream{{Name: "u1", Models: []string{}}, {Name: "u2"}},
		Limits:     citronstream.DefaultLimits(),
	}
}

// Guards against a difference that omits a change, which an operator would then accept
// unseen.
func TestDiff(t *testing.T) {
	after := fleet()
	after.Site = "y"
	after.Ranks[0], after.Ranks[1] = after.Ranks[1], after.Ranks[0]
	after.Workspaces[0].TokenSHA256 = strings.Repeat("b", 64)
	after.Services[0].Calls = []citronstream.ServiceCall{{Name: "order", Cost: 2, Idempotent: true}, {Name: "find"}}
	after.Upstreams = []citronstream.Upstream{{Name: "u2", Models: []string{"m"}}, {Name: "u3"}}
	after.Limits.MaxQueued = 5
	di := New(fleet(), after)
	var sb strings.Builder
	require.NoError(t, di.Write(&sb))
	assert.Equal(t, `~ Fleet changed
    Site: "x" -> "y"
~ Ranks reordered
~ Workspaces[w] changed
    TokenSHA256: "(hidden)" -> "(hidden)"
- Services[desk].Calls[look] removed
~ Services[desk].Calls[order] changed
    Idempotent: false -> true
    Cost: 1 -> 2
+ Services[desk].Calls[find] added
- Upstreams[u1] removed
~ Upstreams[u2] changed
    Models: none -> ["m"]
+ Upstreams[u3] added
~ Limits changed
    MaxQueued: 10000 -> 5
`, sb.String())
	raw, err := json.Marshal(di)
	require.NoError(t, err)
	var again Diff
	require.NoError(t, json.Unmarshal(raw, &again))
	assert.Equal(t, di, &again)
}

// Guards against reporting a difference where only the version or an empty list differs.
func TestNoDifference(t *testing.T) {
	after := fleet()
	after.Version, after.Upstreams[0].Models = 8, nil
	di := New(fleet(), after)
	assert.True(t, di.Empty(), "%+v", di)
}
