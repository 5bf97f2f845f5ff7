package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronstream/citronstream/internal/config/strictjson"
)

// Guards against a wrong default in the settings reference. Defaults listed as required,
// none or empty are zero values.
func TestReferenceDefaults(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	set := New()
	set.Fleet = &citronstream.Fleet{Limits: citronstream.DefaultLimits()}
	rows := regexp.MustCompile("(?m)^\\| `([A-Z][A-Za-z.]*)` \\| ([^|]*) \\| ([^|]*) \\|").FindAllStringSubmatch(string(page), -1)
	assert.Greater(t, len(rows), 40)
	for _, row := range rows {
		value := reflect.ValueOf(*set)
		for key := range strings.SplitSeq(row[1], ".") {
			value = reflect.Indirect(value).FieldByName(key)
			require.True(t, value.IsValid(), row[1])
		}
		if kind := reflect.Indirect(value).Kind(); kind == reflect.Struct {
			continue
		}
		switch want := row[3]; want {
		case "required", "none", "empty", "0":
			assert.True(t, value.IsZero(), "%s: %v is not %q", row[1], value, want)
		default:
			if du, ok := value.Interface().(citronstream.Duration); ok {
				listed, err := time.ParseDuration(want)
				require.NoError(t, err, row[1])
				assert.Equal(t, listed, du.Std(), row[1])
				continue
			}
			assert.Equal(t, want, fmt.Sprint(value.Interface()), row[1])
		}
	}
}

// Guards against a key that is missing from the settings reference, and against a listed
// key that no struct has.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	var listed []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([A-Z][A-Za-z0-9.\\[\\]]*)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, match[1])
	}
	assert.Equal(t, strictjson.Keys(reflect.TypeFor[Settings]()), listed)
}
