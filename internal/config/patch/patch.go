// Package patch makes and applies JSON Patches (RFC 6902) of configuration
// documents. Elements of lists are told apart by their Name, so that one that
// was added in the middle doesn't change those behind it.
package patch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// maxMoves bounds the moves within a list. Each takes time in proportion to
// the list; a list in another order is replaced as a whole.
const maxMoves = 64

// operation is one member of a JSON Patch, whose names RFC 6902 gives.
type operation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	From  string          `json:"from,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// New returns the patch that leads from one JSON object to another.
func New(before, after []byte) ([]byte, error) {
	was, is := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := json.Unmarshal(before, &was); err != nil {
		return nil, fmt.Errorf("patch: the document before: %w", err)
	}
	if err := json.Unmarshal(after, &is); err != nil {
		return nil, fmt.Errorf("patch: the document after: %w", err)
	}
	ops := []operation{}
	for _, key := range slices.Sorted(maps.Keys(was)) {
		if _, ok := is[key]; !ok {
			ops = append(ops, operation{Op: "remove", Path: pointer(key)})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(is)) {
		old, ok := was[key]
		switch {
		case !ok:
			ops = append(ops, operation{Op: "add", Path: pointer(key), Value: is[key]})
		case !bytes.Equal(old, is[key]):
			ops = append(ops, part(pointer(key), old, is[key])...)
		}
	}
	return json.Marshal(ops)
}

// pointer returns the JSON Pointer (RFC 6901) of a top-level member.
func pointer(key string) string {
	return "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

// part compares a member of the object: lists by element, all else as a whole.
func part(path string, was, is json.RawMessage) []operation {
	old, oldOK := newList(was)
	now, nowOK := newList(is)
	if oldOK && nowOK {
		if ops, ok := lists(path, old, now); ok {
			return ops
		}
	}
	return []operation{{Op: "replace", Path: path, Value: is}}
}

// list is a list of objects with distinct names.
type list struct {
	names  []string
	byName map[string]json.RawMessage
}

func newList(raw json.RawMessage) (list, bool) {
	var elements []json.RawMessage
	if !bytes.HasPrefix(raw, []byte("[")) || json.Unmarshal(raw, &elements) != nil {
		return list{}, false
	}
	li := list{byName: make(map[string]json.RawMessage, len(elements))}
	for _, el := range elements {
		var id struct{ Name string }
		if json.Unmarshal(el, &id) != nil || id.Name == "" || li.byName[id.Name] != nil {
			return list{}, false
		}
		li.names = append(li.names, id.Name)
		li.byName[id.Name] = el
	}
	return li, true
}

// lists compares two lists by name. It returns false if too many elements
// have moved.
func lists(path string, old, now list) (ops []operation, ok bool) {
	at := func(i int) string { return path + "/" + strconv.Itoa(i) }
	present := slices.Clone(old.names)
	for i, name := range slices.Backward(old.names) {
		if now.byName[name] == nil {
			ops = append(ops, operation{Op: "remove", Path: at(i)})
			present = slices.Delete(present, i, i+1)
		}
	}
	moves := 0
	for i, name := range now.names {
		was, known := old.byName[name]
		if !known {
			ops = append(ops, operation{Op: "add", Path: at(i), Value: now.byName[name]})
			present = slices.Insert(present, i, name)
			continue
		}
		if present[i] != name {
			if moves++; moves > maxMoves {
				return nil, false
			}
			from := i + slices.Index(present[i:], name)
			ops = append(ops, operation{Op: "move", From: at(from), Path: at(i)})
			present = slices.Insert(slices.Delete(present, from, from+1), i, name)
		}
		if !bytes.Equal(was, now.byName[name]) {
			ops = append(ops, operation{Op: "replace", Path: at(i), Value: now.byName[name]})
		}
	}
	return ops, true
}

// Join returns the patch that does what the given ones do one after the other.
func Join(patches ...[]byte) ([]byte, error) {
	all := []json.RawMessage{}
	for _, pa := range patches {
		var ops []json.RawMessage
		if err := json.Unmarshal(pa, &ops); err != nil {
			return nil, fmt.Errorf("patch: %w", err)
		}
		all = append(all, ops...)
	}
	return json.Marshal(all)
}

// Apply returns the patched document. Its members stand in any order. It takes
// the operations that New makes: test and copy are refused.
func Apply(document, patch []byte) (patched []byte, err error) {
	// The library panics on some malformed patches (FuzzApply), and a patch
	// comes from another process.
	defer func() {
		if fault := recover(); fault != nil {
			patched, err = nil, fmt.Errorf("patch: malformed: %v", fault)
		}
	}()
	decoded, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	for _, op := range decoded {
		switch kind := op.Kind(); kind {
		case "add", "remove", "replace", "move":
		default:
			return nil, fmt.Errorf("patch: operation %q is not one of add, remove, replace, move", kind)
		}
	}
	opts := jsonpatch.NewApplyOptions()
	opts.SupportNegativeIndices = false // not in RFC 6902
	patched, err = decoded.ApplyWithOptions(document, opts)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	return patched, nil
}
