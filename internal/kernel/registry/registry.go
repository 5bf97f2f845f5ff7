// Package registry maps names to the plug-ins of one kind. Plug-ins register
// themselves in init; settings select them by name.
package registry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Registry maps names to plug-ins of type T.
type Registry[T any] struct {
	kind string
	mu   sync.RWMutex
	byID map[string]T
}

// New returns an empty registry. Kind is used in error messages, such as "routing policy".
func New[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, byID: make(map[string]T)}
}

// Register adds a plug-in. It panics if the name is taken, which is a bug that
// shows at start.
func (re *Registry[T]) Register(name string, plugin T) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if _, ok := re.byID[name]; ok {
		panic(fmt.Sprintf("%s %q registered twice", re.kind, name))
	}
	re.byID[name] = plugin
}

// Get returns the plug-in of that name, or an error that lists the known names.
func (re *Registry[T]) Get(name string) (T, error) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	plugin, ok := re.byID[name]
	if !ok {
		return plugin, fmt.Errorf("unknown %s %q, known: %s", re.kind, name, strings.Join(re.names(), ", "))
	}
	return plugin, nil
}

// Names returns the registered names in order.
func (re *Registry[T]) Names() []string {
	re.mu.RLock()
	defer re.mu.RUnlock()
	return re.names()
}

func (re *Registry[T]) names() []string {
	names := make([]string, 0, len(re.byID))
	for name := range re.byID {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
