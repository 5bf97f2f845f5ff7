package holds

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/operator/client"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a list that shows a lifted hold as in force because one
// entry does not know of the lift yet, or an old hold in place of a later one.
func TestMerge(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	hold := func(digest uint64, since, lifted time.Duration) poison.Hold {
		ho := poison.Hold{Digest: digest, Upstream: "writer-1", At: at.Add(since), Until: at.Add(since + 10*time.Minute)}
		if lifted > 0 {
			ho.Lifted = at.Add(lifted)
		}
		return ho
	}
	body := func(holds ...poison.Hold) client.Answer {
		raw, err := json.Marshal(holds)
		require.NoError(t, err)
		return client.Answer{Entry: "entry-1", Body: raw}
	}
	known, err := merge([]client.Answer{
		body(hold(1, 0, time.Minute), hold(2, 0, 0)),
		{Entry: "entry-2", Err: errors.New("no answer")},
		body(hold(1, 0, 0), hold(2, 2*time.Minute, 0), hold(3, time.Minute, 0)),
	})
	require.NoError(t, err)
	assert.Equal(t, []poison.Hold{hold(1, 0, time.Minute), hold(3, time.Minute, 0), hold(2, 2*time.Minute, 0)}, known)

	var out bytes.Buffer
	require.NoError(t, write(&out, known))
	assert.Regexp(t, `1 +writer-1 .* lifted\n3 +writer-1 .* held\n2 +writer-1 .* held\n$`, out.String())

	_, err = merge([]client.Answer{{Entry: "entry-1", Body: []byte("{")}})
	assert.ErrorContains(t, err, "entry-1")
}
