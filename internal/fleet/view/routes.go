package view

import (
	"cmp"
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

// Routes is a configuration with an index of its routes.
type Routes struct {
	*citronstream.Routing
	// Revision is the version of the row that held the configuration.
	Revision uint64
	Bytes    int                              // size of that row
	byHost   map[string][]*citronstream.Route // longest prefix first
}

func newRoutes(ro *citronstream.Routing, revision uint64, bytes int) *Routes {
	index := &Routes{Routing: ro, Revision: revision, Bytes: bytes, byHost: make(map[string][]*citronstream.Route)}
	for i := range ro.Routes {
		route := &ro.Routes[i]
		index.byHost[route.Host] = append(index.byHost[route.Host], route)
	}
	for _, list := range index.byHost {
		slices.SortStableFunc(list, func(a, b *citronstream.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return index
}

// Find returns the route of the host with the longest prefix of the path, or nil.
func (ro *Routes) Find(host, path string) *citronstream.Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, route := range ro.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
