package operate

import (
	"encoding/json"
	"io"
)

// WriteJSONLines writes one JSON object for each element.
func WriteJSONLines[T any](out io.Writer, list []T) error {
	enc := json.NewEncoder(out)
	for i := range list {
		if err := enc.Encode(list[i]); err != nil {
			return err
		}
	}
	return nil
}
