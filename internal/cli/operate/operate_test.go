package operate

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/operator/client"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const example = "../../../examples/magnolia.json"

// Guards against errors that don't name the flag with the wrong value.
func TestOpen(t *testing.T) {
	lo := NewLoader(check.New())
	empty := filepath.Join(t.TempDir(), "empty.json")
	require.NoError(t, os.WriteFile(empty, []byte("{}"), 0o600))
	for want, fl := range map[string]Flags{
		"--settings: open missing":        {Settings: "missing"},
		"has no Fleet":                    {Settings: empty},
		"--token-file: open missing":      {Settings: example, TokenFile: "missing"},
		"--ca: open missing":              {Settings: example, CA: "missing"},
		"--ca: " + empty + " has no cert": {Settings: example, CA: empty},
	} {
		_, _, err := fl.Open(lo)
		assert.ErrorContains(t, err, want)
	}
	fl, _, err := (&Flags{Settings: example}).Open(lo)
	require.NoError(t, err)
	assert.Equal(t, "magnolia", fl.Site)
}

// Guards against a command that succeeds although some entries gave no answer, so
// that a script takes a partial result for a complete one.
func TestMissing(t *testing.T) {
	assert.NoError(t, Missing([]client.Answer{{Entry: "entry-1"}}))
	err := Missing([]client.Answer{{Entry: "entry-1"}, {Entry: "entry-2", Err: errors.New("refused")}})
	assert.EqualError(t, err, "no answer from 1 of 2 entries (entry-2): refused")
}

// Guards against control characters left on the terminal.
func TestProgress(t *testing.T) {
	var out bytes.Buffer
	show := progressTo(&out)
	show(1, 2)
	show(2, 2)
	assert.Equal(t, "\r1 of 2 entries\r2 of 2 entries\r\x1b[K", out.String())
}
