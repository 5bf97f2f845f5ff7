package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Encode writes the document with one line for each element of the Fleet's lists, so
// that line-based diff tools show changes by element. Process and Platform are omitted
// if they hold only the defaults.
func (se *Settings) Encode() ([]byte, error) {
	var bb bytes.Buffer
	bb.WriteString("{")
	if se.Fleet != nil {
		bb.WriteString("\n  \"Fleet\": {")
		if err := encodeFields(&bb, reflect.ValueOf(*se.Fleet)); err != nil {
			return nil, err
		}
		bb.WriteString("\n  }")
	}
	defaults := New()
	for _, part := range []struct {
		key             string
		value, defaults any
	}{{"Process", se.Process, defaults.Process}, {"Platform", se.Platform, defaults.Platform}} {
		raw, err := json.MarshalIndent(part.value, "  ", "  ")
		if err != nil {
			return nil, fmt.Errorf("%s: %w", part.key, err)
		}
		if reflect.ValueOf(part.value).IsZero() || reflect.DeepEqual(part.value, part.defaults) {
			continue
		}
		writeComma(&bb)
		fmt.Fprintf(&bb, "\n  %q: %s", part.key, raw)
	}
	bb.WriteString("\n}\n")
	return bb.Bytes(), nil
}

func writeComma(bb *bytes.Buffer) {
	if last := bb.Bytes()[bb.Len()-1]; last != '{' && last != '[' {
		bb.WriteByte(',')
	}
}

func encodeFields(bb *bytes.Buffer, rv reflect.Value) error {
	for i := range rv.NumField() {
		key, option, _ := strings.Cut(rv.Type().Field(i).Tag.Get("json"), ",")
		field := rv.Field(i)
		if option == "omitempty" && field.IsZero() {
			continue
		}
		writeComma(bb)
		fmt.Fprintf(bb, "\n    %q: ", key)
		if field.Kind() != reflect.Slice {
			if err := encodeValue(bb, field); err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
			continue
		}
		bb.WriteByte('[')
		for j := range field.Len() {
			writeComma(bb)
			bb.WriteString("\n      ")
			if err := encodeValue(bb, field.Index(j)); err != nil {
				return fmt.Errorf("%s[%d]: %w", key, j, err)
			}
		}
		if field.Len() > 0 {
			bb.WriteString("\n    ")
		}
		bb.WriteByte(']')
	}
	return nil
}

func encodeValue(bb *bytes.Buffer, rv reflect.Value) error {
	raw, err := json.Marshal(rv.Interface())
	bb.Write(raw)
	return err
}
