package strictjson

import (
	"encoding/json"
	"reflect"
	"strconv"
)

func tokenKind(tok json.Token) string {
	switch tok {
	case json.Delim('{'):
		return "an object"
	case json.Delim('['):
		return "a list"
	}
	switch tok.(type) {
	case string:
		return "text"
	case bool:
		return "true or false"
	}
	return "a number"
}

var typeNames = map[reflect.Kind]string{
	reflect.Struct: "an object", reflect.Slice: "a list", reflect.String: "text", reflect.Bool: "true or false",
	reflect.Float64: "a number", reflect.Int: "a whole number", reflect.Int64: "a whole number",
	reflect.Uint64: "a whole number of at least 0",
}

// setScalar stores a scalar and returns an error text, or "". The text omits the value,
// which may be a secret under the wrong key.
func setScalar(rv reflect.Value, tok json.Token) string {
	switch val := tok.(type) {
	case string:
		if rv.Kind() == reflect.String {
			rv.SetString(val)
			return ""
		}
	case bool:
		if rv.Kind() == reflect.Bool {
			rv.SetBool(val)
			return ""
		}
	case json.Number:
		numeric, err := setNumber(rv, val)
		if numeric && err != nil {
			return "wrong number: want " + typeNames[rv.Kind()] + " within range"
		}
		if numeric {
			return ""
		}
	}
	return "wrong type: want " + typeNames[rv.Kind()] + ", got " + tokenKind(tok)
}

// setNumber stores a number. It returns false if rv is not of a numeric type.
func setNumber(rv reflect.Value, num json.Number) (bool, error) {
	switch rv.Kind() {
	case reflect.Int, reflect.Int64:
		val, err := strconv.ParseInt(num.String(), 10, rv.Type().Bits())
		if err == nil {
			rv.SetInt(val)
		}
		return true, err
	case reflect.Uint64:
		val, err := strconv.ParseUint(num.String(), 10, 64)
		if err == nil {
			rv.SetUint(val)
		}
		return true, err
	case reflect.Float64:
		val, err := strconv.ParseFloat(num.String(), 64)
		if err == nil {
			rv.SetFloat(val)
		}
		return true, err
	}
	return false, nil
}
