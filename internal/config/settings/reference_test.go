package settings

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronstream/citronstream/internal/config/strictjson"
)

// Guards against a key that the settings reference does not list, and
// against one that it lists although no struct has it.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations.md")
	require.NoError(t, err)
	var listed []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([A-Z][A-Za-z0-9.\\[\\]]*)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, match[1])
	}
	assert.Equal(t, strictjson.Keys(reflect.TypeFor[Settings]()), listed)
}
