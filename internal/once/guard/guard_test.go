package guard

import (
	"context"
	"errors"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type fakeStore struct {
	token uint64
	read  bool
	down  bool
}

func (fs *fakeStore) Token() (uint64, bool) { return fs.token, fs.read }

func (fs *fakeStore) RaiseToken(_ context.Context, token uint64) error {
	if fs.down {
		return errors.New("down")
	}
	fs.token = max(fs.token, token)
	return nil
}

type engine struct {
	t      require.TestingT
	store  *fakeStore
	tokens []uint64
}

func (en *engine) Order(_ context.Context, _ string, eo citronstream.EngineOrder) error {
	require.GreaterOrEqual(en.t, en.store.token, eo.Token, "the command was sent before its token was stored")
	if n := len(en.tokens); n > 0 {
		require.GreaterOrEqual(en.t, eo.Token, en.tokens[n-1], "an older command followed a newer one")
	}
	en.tokens = append(en.tokens, eo.Token)
	return nil
}

// TestGuard guards against an old command that reaches the engine after a newer
// one, across restarts and store outages.
func TestGuard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fs := &fakeStore{}
		en := &engine{t: rt, store: fs}
		gu := New(fs, en)
		rt.Repeat(map[string]func(*rapid.T){
			"restart": func(*rapid.T) { fs.read = false; gu = New(fs, en) },
			"read":    func(*rapid.T) { fs.read = true },
			"down":    func(rt *rapid.T) { fs.down = rapid.Bool().Draw(rt, "down") },
			"order": func(rt *rapid.T) {
				sent := len(en.tokens)
				token := rapid.Uint64Range(0, 9).Draw(rt, "token")
				err := gu.Order(context.Background(), "", citronstream.EngineOrder{Token: token})
				if err != nil {
					assert.Equal(rt, citronstream.NotRun, citronstream.VerdictOf(err))
					assert.Len(rt, en.tokens, sent, "a refused command was sent")
				}
				if !fs.read {
					assert.Equal(rt, citronstream.CodeNotReady, citronstream.FaultOf(err).Code)
				}
			},
		})
	})
}
