package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// pathElement is a key, or an index if the key is empty.
type pathElement struct {
	key   string
	index int
}

// walk is the state of one pass over a document.
type walk struct {
	de      *Decoder
	dec     *json.Decoder
	data    []byte
	path    []pathElement
	fields  map[reflect.Type]map[string]int
	faults  []Fault
	dropped int
	// line is the line number at lineOffset.
	line       int
	lineOffset int
}

func (wa *walk) addFault(fa Fault) {
	if len(wa.faults) >= wa.de.maxFaults {
		wa.dropped++
		return
	}
	wa.faults = append(wa.faults, fa)
}

// fault records a fault at the current path. unreadable is true if the value could not be
// decoded.
func (wa *walk) fault(unreadable bool, format string, args ...any) {
	offset := int(wa.dec.InputOffset())
	wa.line += bytes.Count(wa.data[wa.lineOffset:offset], []byte("\n"))
	wa.lineOffset = offset
	wa.addFault(Fault{Path: pathText(wa.path), Text: fmt.Sprintf(format, args...), Line: wa.line, Offset: int64(offset), Unreadable: unreadable})
}

func pathText(path []pathElement) string {
	var sb strings.Builder
	for _, st := range path {
		switch {
		case st.key == "":
			sb.WriteString("[" + strconv.Itoa(st.index) + "]")
		case sb.Len() > 0:
			sb.WriteString("." + keyText(st.key))
		default:
			sb.WriteString(keyText(st.key))
		}
	}
	return sb.String()
}

// keyText quotes keys with special characters and truncates long ones.
func keyText(key string) string {
	if len(key) > 64 {
		key = key[:64]
	}
	plain := !strings.ContainsFunc(key, func(ru rune) bool {
		return ru != '_' && ru != '-' && (ru < '0' || ru > '9') && (ru < 'A' || ru > 'Z') && (ru < 'a' || ru > 'z')
	})
	if plain {
		return key
	}
	return strconv.Quote(key)
}

// value decodes the next value into rv. An error means that the text ended.
func (wa *walk) value(rv reflect.Value) error {
	tok, err := wa.dec.Token()
	if err != nil {
		return err
	}
	if tok == nil {
		wa.fault(true, "null is not allowed, leave the key out")
		return nil
	}
	for rv.Kind() == reflect.Pointer {
		if rv.IsNil() {
			rv.Set(reflect.New(rv.Type().Elem()))
			if start, ok := wa.de.defaults[rv.Type().Elem()]; ok {
				rv.Elem().Set(start)
			}
		}
		rv = rv.Elem()
	}
	if um, ok := rv.Addr().Interface().(json.Unmarshaler); ok {
		return wa.unmarshal(tok, um)
	}
	switch {
	case rv.Kind() == reflect.Struct && tok == json.Delim('{'):
		return wa.object(rv)
	case rv.Kind() == reflect.Slice && tok == json.Delim('['):
		return wa.array(rv)
	}
	if problem := setScalar(rv, tok); problem != "" {
		wa.fault(true, "%s", problem)
	}
	return wa.skip(tok)
}

func (wa *walk) unmarshal(tok json.Token, um json.Unmarshaler) error {
	if _, ok := tok.(json.Delim); ok {
		wa.fault(true, "wrong type: got %s", tokenKind(tok))
		return wa.skip(tok)
	}
	raw, err := json.Marshal(tok)
	if err == nil {
		err = um.UnmarshalJSON(raw)
	}
	if err != nil {
		wa.fault(true, "%s", err)
	}
	return nil
}

func (wa *walk) object(rv reflect.Value) error {
	fields := wa.fieldsOf(rv.Type())
	seen := make([]bool, rv.NumField())
	for wa.dec.More() {
		tok, err := wa.dec.Token()
		if err != nil {
			return err
		}
		key, _ := tok.(string)
		wa.path = append(wa.path, pathElement{key: key})
		if key == "" {
			wa.path[len(wa.path)-1].key = "\"\""
		}
		i, known := fields[key]
		switch {
		case !known:
			wa.fault(false, "unknown key, known: %s", strings.Join(keysOf(rv.Type()), ", "))
			err = wa.skipNext()
		case seen[i]:
			wa.fault(false, "duplicate key")
			err = wa.value(rv.Field(i))
		default:
			seen[i] = true
			err = wa.value(rv.Field(i))
		}
		if err != nil {
			return err
		}
		wa.path = wa.path[:len(wa.path)-1]
	}
	_, err := wa.dec.Token()
	return err
}

func (wa *walk) array(rv reflect.Value) error {
	rv.SetLen(0)
	for i := 0; wa.dec.More(); i++ {
		wa.path = append(wa.path, pathElement{index: i})
		rv.Grow(1)
		rv.SetLen(i + 1)
		rv.Index(i).SetZero()
		if err := wa.value(rv.Index(i)); err != nil {
			return err
		}
		wa.path = wa.path[:len(wa.path)-1]
	}
	_, err := wa.dec.Token()
	return err
}

func (wa *walk) skipNext() error {
	tok, err := wa.dec.Token()
	if err != nil {
		return err
	}
	return wa.skip(tok)
}

// skip reads to the end of the value that starts with tok. The decoded types are nested
// less deeply than the limit, so only skipped values can exceed it.
func (wa *walk) skip(tok json.Token) error {
	depth, reported := 0, false
	for {
		if delim, ok := tok.(json.Delim); ok {
			if delim == '{' || delim == '[' {
				depth++
			} else {
				depth--
			}
		}
		if !reported && depth+len(wa.path) > wa.de.maxDepth {
			reported = true
			wa.fault(false, "nested deeper than %d levels", wa.de.maxDepth)
		}
		if depth <= 0 {
			return nil
		}
		var err error
		if tok, err = wa.dec.Token(); err != nil {
			return err
		}
	}
}

func (wa *walk) fieldsOf(ty reflect.Type) map[string]int {
	fields, ok := wa.fields[ty]
	if !ok {
		fields = make(map[string]int)
		for i := range ty.NumField() {
			fields[keyOf(ty.Field(i))] = i
		}
		wa.fields[ty] = fields
	}
	return fields
}

func keyOf(fi reflect.StructField) string {
	name, _, _ := strings.Cut(fi.Tag.Get("json"), ",")
	if name == "" {
		return fi.Name
	}
	return name
}

func keysOf(ty reflect.Type) []string {
	var keys []string
	for i := range ty.NumField() {
		keys = append(keys, keyOf(ty.Field(i)))
	}
	slices.Sort(keys)
	return keys
}

// Keys lists the paths of all keys of a struct type in declaration order,
// with [] for each list, such as Fleet.Pipelines[].Name.
func Keys(ty reflect.Type) []string {
	for ty.Kind() == reflect.Pointer {
		ty = ty.Elem()
	}
	if ty.Kind() == reflect.Slice {
		return addPrefix("[]", Keys(ty.Elem()))
	}
	if ty.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range ty.NumField() {
		key := keyOf(ty.Field(i))
		keys = append(keys, key)
		keys = append(keys, addPrefix(key, Keys(ty.Field(i).Type))...)
	}
	return keys
}

func addPrefix(prefix string, keys []string) []string {
	for i, key := range keys {
		if !strings.HasPrefix(key, "[]") {
			key = "." + key
		}
		keys[i] = prefix + key
	}
	return keys
}
