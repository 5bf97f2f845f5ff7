package strictjson

import (
	"encoding/json"
	"reflect"
	"strconv"
)

func kindOf(tok json.Token) string {
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

var wanted = map[reflect.Kind]string{
	reflect.Struct: "an object", reflect.Slice: "a list", reflect.String: "text", reflect.Bool: "true or false",
	reflect.Float64: "a number", reflect.Int: "a whole number", reflect.Int64: "a whole number",
	reflect.Uint64: "a whole number of at least 0",
}

// setScalar stores a scalar and returns what is wrong with it. The text never
// repeats the value, which may be a secret under the wrong key.
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
		done, err := setNumber(rv, val)
		if done && err != nil {
			return "wrong number: want " + wanted[rv.Kind()] + " within range"
		}
		if done {
			return ""
		}
	}
	return "wrong type: want " + wanted[rv.Kind()] + ", got " + kindOf(tok)
}

// setNumber stores a number; false means that rv holds none.
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
