package operate

import (
	"encoding/json"
	"io"
)

// Lines prints one JSON object for each element.
func Lines[T any](out io.Writer, list []T) error {
	enc := json.NewEncoder(out)
	for i := range list {
		if err := enc.Encode(list[i]); err != nil {
			return err
		}
	}
	return nil
}
