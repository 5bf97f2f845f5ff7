package settings

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronstream/citronstream"
)

func TestDecode(t *testing.T) {
	// Guards against losing the default limits that a document does not set.
	t.Run("defaults under a partial document", func(t *testing.T) {
		se, faults, ok := Decode([]byte(`{"Fleet":{"Site":"x","Limits":{"MaxQueued":7}},"Platform":{"Table":{"Name":"t"}}}`))
		require.True(t, ok)
		assert.Empty(t, faults)
		want := citronstream.DefaultLimits()
		want.MaxQueued = 7
		assert.Equal(t, want, se.Fleet.Limits)
		assert.Equal(t, Table{Protocol: ProtocolMemory, Region: "us-east-1", Name: "t"}, se.Platform.Table)
		assert.Equal(t, "127.0.0.1:8700", se.Process.Listen)
	})
	// Guards against decoding an absent Fleet as an empty one.
	t.Run("no Fleet", func(t *testing.T) {
		se, faults, _ := Decode([]byte(`{}`))
		assert.Empty(t, faults)
		assert.Nil(t, se.Fleet)
	})
	// Guards against a document that changes when it is encoded and decoded.
	t.Run("encode and decode", func(t *testing.T) {
		se := New()
		se.Fleet = &citronstream.Fleet{Site: "x", Owners: []citronstream.Owner{{Name: "a"}}, Limits: citronstream.DefaultLimits()}
		se.Process.Peers = []string{"127.0.0.1:1"}
		raw, err := se.Encode()
		require.NoError(t, err)
		again, faults, _ := Decode(raw)
		assert.Empty(t, faults)
		assert.Equal(t, se, again)
	})
}

func TestPeerToken(t *testing.T) {
	read := func(name string) ([]byte, error) {
		switch name {
		case "good":
			return []byte("s3cret\n"), nil
		case "empty":
			return []byte(" \n"), nil
		case "long":
			return []byte(strings.Repeat("x", maxSecretBytes+1)), nil
		}
		return nil, fs.ErrNotExist
	}
	env := func(name string) string { return map[string]string{"TOKEN": "s3cret"}[name] }
	for _, to := range []Tokens{{PeerTokenFile: "good"}, {PeerTokenEnv: "TOKEN"}} {
		se, err := to.PeerToken(read, env)
		require.NoError(t, err)
		assert.Equal(t, "s3cret", se.Reveal())
		// Guards against a secret in a log line or a status page.
		raw, err := json.Marshal(se)
		require.NoError(t, err)
		assert.NotContains(t, fmt.Sprintf("%v %+v %#v %s %q %x %s", se, se, se, se, se, se, raw), "s3cret")
	}
	// Guards against running without the configured peer token.
	for _, to := range []Tokens{{PeerTokenFile: "empty"}, {PeerTokenFile: "long"}, {PeerTokenFile: "none"}, {PeerTokenEnv: "NONE"}} {
		_, err := to.PeerToken(read, env)
		assert.ErrorContains(t, err, "Process.Tokens.PeerToken")
	}
}

// Guards against decoding a valid document differently from encoding/json.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"magnolia", "nullagine"} {
		raw, err := os.ReadFile("../../../examples/" + name + ".json")
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Add([]byte(`{"Process":{"Name":"\u00e9\ud800","Peers":["a","b"],"Peers":["c"]},"Fleet":{"Version":18446744073709551615}}`))
	f.Add([]byte(`{"Fleet":{"Ranks":[{"Floor":1e-3,"Deadline":"1h"}],"Limits":{"RetryRatio":-0}}} `))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, faults, ok := Decode(data)
		require.Equal(t, json.Valid(data), ok)
		if len(faults) > 0 {
			return
		}
		want := New()
		if got.Fleet != nil {
			want.Fleet = &citronstream.Fleet{Limits: citronstream.DefaultLimits()}
		}
		require.NoError(t, json.Unmarshal(data, want))
		wantText, err := json.Marshal(want)
		require.NoError(t, err)
		gotText, err := json.Marshal(got)
		require.NoError(t, err)
		require.Equal(t, string(wantText), string(gotText))
	})
}
