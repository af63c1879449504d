package entry

import (
	"slices"
	"strings"

	"jasminegate/internal/state"
)

// Routes is an index of the routes of one configuration snapshot.
type Routes struct {
	byHost map[string]prefixes
}

// prefixes maps path prefixes to the routes of one host. The routes of a prefix
// are in matching order.
type prefixes map[string][]state.Route

// NewRoutes indexes the snapshot's routes.
func NewRoutes(snapshot *state.Snapshot) *Routes {
	index := &Routes{byHost: make(map[string]prefixes)}
	for _, route := range snapshot.Routes() {
		host := strings.ToLower(route.Host)
		if index.byHost[host] == nil {
			index.byHost[host] = make(prefixes)
		}
		index.byHost[host][route.PathPrefix] = append(index.byHost[host][route.PathPrefix], route)
	}
	return index
}

// Match returns the most specific route for the request: a route of its host
// before one of any host, then the longest path prefix, then a route that lists
// the method before one of all methods.
func (r *Routes) Match(host, path, method string) (state.Route, bool) {
	host = strings.ToLower(stripPort(host))
	if route, ok := r.byHost[host].match(path, method); ok || host == "" {
		return route, ok
	}
	return r.byHost[""].match(path, method)
}

// match returns the route with the longest matching prefix. A prefix must end at the
// end of a path segment or with the slash after it.
func (p prefixes) match(path, method string) (state.Route, bool) {
	if len(p) == 0 {
		return state.Route{}, false
	}
	for end := len(path); end > 0; end-- {
		if end != len(path) && path[end] != '/' && path[end-1] != '/' {
			continue
		}
		if route, ok := firstAllowing(p[path[:end]], method); ok {
			return route, true
		}
	}
	return state.Route{}, false
}

// firstAllowing returns the first route that allows the method.
func firstAllowing(routes []state.Route, method string) (state.Route, bool) {
	for _, route := range routes {
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route, true
		}
	}
	return state.Route{}, false
}

func stripPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}
