package state

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Violation is one rule that a ticket breaks.
type Violation struct {
	// Path is the dotted path of the value, such as "routes[0].timeout"; it is
	// empty for the ticket as a whole.
	Path string
	// Resource is the name of the service or route, if it has one.
	Resource string
	Text     string
	// Remedy says what to write instead.
	Remedy string
}

// String writes the fault on one line, with the resource's name, where
// it is sound, in place of its index.
func (f Violation) String() string {
	key := f.Path
	if key == "" {
		key = "ticket"
	}
	list, rest, indexed := strings.Cut(key, "[")
	if f.Resource != "" && indexed && !strings.ContainsFunc(f.Resource, notNameRune) {
		_, field, _ := strings.Cut(rest, "]")
		key = fmt.Sprintf("%s[%s]%s", list, f.Resource, field)
	}
	return fmt.Sprintf("%s %s: %s", key, f.Text, f.Remedy)
}

// Validate checks all that can be checked without the state before the ticket.
// It fails with ErrInvalid, which names the first fault.
func (t Ticket) Validate() error {
	faults := t.Violations()
	switch len(faults) {
	case 0:
		return nil
	case 1:
		return ErrInvalid.New("%s", faults[0])
	}
	return ErrInvalid.New("%s (and %d more faults: `jasminegate ticket check` lists them)", faults[0], len(faults)-1)
}

// Violations returns each rule that the ticket breaks, in the ticket's order.
func (t Ticket) Violations() []Violation {
	c := checker{seen: make(map[Key]string)}
	if t.Number == 0 {
		c.add("number", "is missing", "give the ticket a number above the last accepted one")
	}
	c.checkAuthor(t.Author)
	for i, service := range t.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), service)
	}
	for i, route := range t.Routes {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), route)
	}
	c.checkCallerLimits("caller_limits", t.CallerLimits)
	c.checkRemovals("remove_services", KindService, t.RemoveServices)
	c.checkRemovals("remove_routes", KindRoute, t.RemoveRoutes)
	if t.Replace && len(t.RemoveServices)+len(t.RemoveRoutes) > 0 {
		c.add("replace", "stands beside removals", "leave the removals out: what the ticket does not name is removed")
	}
	if len(c.seen) == 0 && len(c.faults) == 0 && !t.Replace {
		c.add("", "changes nothing", "add services, routes, caller_limits or removals")
	}
	return c.faults
}

// checker collects the faults of one ticket.
type checker struct {
	faults   []Violation
	seen     map[Key]string // the path at which each resource stands
	resource string
}

func (c *checker) add(key, text, remedy string) {
	c.faults = append(c.faults, Violation{Path: key, Resource: c.resource, Text: text, Remedy: remedy})
}

func (c *checker) checkAuthor(author string) {
	if len(author) > MaxNameBytes {
		c.add("author", fmt.Sprintf("has %d bytes", len(author)), fmt.Sprintf("use at most %d", MaxNameBytes))
	}
}

func (c *checker) checkService(path string, service Service) {
	c.resource = service.Name
	defer func() { c.resource = "" }()
	c.touch(path+".name", path, Key{KindService, service.Name})
	c.checkRange(path+".slots", service.Slots, 1, MaxSlots)
	c.checkRange(path+".connections", service.Connections, 1, MaxConnections)
	c.checkRange(path+".queue_length", service.QueueLength, 0, MaxQueueLength)
	c.checkDuration(path+".queue_timeout", service.QueueTimeout, 0, MaxQueueTimeout)
	if service.HealthPath != "" {
		c.checkPathPrefix(path+".health_path", service.HealthPath)
	}
}

func (c *checker) checkRoute(path string, route Route) {
	c.resource = route.Name
	defer func() { c.resource = "" }()
	c.touch(path+".name", path, Key{KindRoute, route.Name})
	c.checkHost(path+".host", route.Host)
	c.checkPathPrefix(path+".path_prefix", route.PathPrefix)
	c.checkMethods(path+".methods", route.Methods)
	c.checkDestinations(path, route)
	if route.Class != ClassInteractive && route.Class != ClassBackground {
		c.add(path+".class", fmt.Sprintf("is %q", route.Class), fmt.Sprintf("use %s or %s", ClassInteractive, ClassBackground))
	}
	c.checkDuration(path+".timeout", route.Timeout, time.Millisecond, MaxRouteTimeout)
	c.checkDuration(path+".target_latency", route.TargetLatency, 0, MaxRouteTimeout)
	c.checkRange(path+".priority", route.Priority, 0, MaxPriority)
	c.checkRange(path+".max_attempts", route.MaxAttempts, 1, MaxRouteAttempts)
}

func (c *checker) checkCallerLimits(path string, limits *CallerLimits) {
	if limits == nil {
		return
	}
	c.seen[callerLimitsKey] = path
	c.checkSize(path+".header_bytes", int64(limits.HeaderBytes), MaxHeaderBytes)
	c.checkSize(path+".body_bytes", limits.BodyBytes, MaxBodyBytes)
	c.checkDuration(path+".header_timeout", limits.HeaderTimeout, 0, MaxHeaderTimeout)
	c.checkDuration(path+".idle_timeout", limits.IdleTimeout, 0, MaxIdleTimeout)
}

func (c *checker) checkDestinations(path string, route Route) {
	if len(route.Destinations) == 0 {
		c.checkName(path+".service", route.Service)
		return
	}
	if route.Service != "" {
		c.add(path+".service", "stands beside destinations", "give one of the two")
	}
	if len(route.Destinations) > MaxDestinations {
		c.add(path+".destinations", fmt.Sprintf("has %d entries", len(route.Destinations)), fmt.Sprintf("use at most %d", MaxDestinations))
	}
	total := 0
	seen := make(map[string]bool)
	for i, destination := range route.Destinations {
		at := fmt.Sprintf("%s.destinations[%d]", path, i)
		c.checkName(at+".service", destination.Service)
		c.checkRange(at+".weight", destination.Weight, 0, MaxWeight)
		if seen[destination.Service] {
			c.add(at+".service", fmt.Sprintf("gives %q again", destination.Service), "give each service once")
		}
		seen[destination.Service] = true
		total += destination.Weight
	}
	if total <= 0 {
		c.add(path+".destinations", "has no weight above 0", "give at least one destination a weight")
	}
}

func (c *checker) checkRemovals(path string, kind Kind, names []string) {
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.touch(at, at, Key{kind, name})
	}
}

// touch records the resource and checks its name.
func (c *checker) touch(nameKey, path string, key Key) {
	if !c.checkName(nameKey, key.Name) {
		return
	}
	if first, ok := c.seen[key]; ok {
		c.add(nameKey, fmt.Sprintf("gives %q again, first given at %s", key.Name, first), "give each resource once")
		return
	}
	c.seen[key] = path
}

func (c *checker) checkName(key, name string) bool {
	text, remedy := CheckName(name, MaxNameBytes)
	if text != "" {
		c.add(key, text, remedy)
	}
	return text == ""
}

// CheckName says what is wrong with a name of at most maxBytes, and what to
// write instead. Both are empty for a sound name.
func CheckName(name string, maxBytes int) (text, remedy string) {
	switch {
	case name == "":
		return "is missing", "give it a name"
	case len(name) > maxBytes:
		return fmt.Sprintf("has %d bytes", len(name)), fmt.Sprintf("use at most %d", maxBytes)
	case strings.ContainsFunc(name, notNameRune):
		return fmt.Sprintf("is %q", name), "use letters, digits, dots, hyphens and underscores"
	}
	return "", ""
}

func (c *checker) checkHost(key, host string) {
	if strings.ContainsFunc(host, notNameRune) || host != strings.ToLower(host) {
		c.add(key, fmt.Sprintf("is %q", host), "write the host in lower case without a port, or leave the key out")
	}
}

func (c *checker) checkPathPrefix(key, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(key, fmt.Sprintf("is %q", prefix), "begin it with a slash")
	case len(prefix) > MaxPathBytes:
		c.add(key, fmt.Sprintf("has %d bytes", len(prefix)), fmt.Sprintf("use at most %d", MaxPathBytes))
	case strings.ContainsFunc(prefix, notPathRune):
		c.add(key, fmt.Sprintf("is %q", prefix), "write the path alone, without query, fragment, spaces or control characters")
	}
}

func (c *checker) checkMethods(key string, methods []string) {
	for i, method := range methods {
		if method == "" || strings.ContainsFunc(method, notUpper) {
			c.add(key, fmt.Sprintf("holds %q", method), "write methods in capitals, such as GET, or leave the key out for all")
			return
		}
		if slices.Contains(methods[:i], method) {
			c.add(key, fmt.Sprintf("holds %q twice", method), "give each method once")
			return
		}
	}
}

func (c *checker) checkRange(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, fmt.Sprintf("is %d", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

// checkSize checks a number of bytes against a bound of whole KiB.
func (c *checker) checkSize(key string, value, high int64) {
	if value < 0 || value > high {
		c.add(key, fmt.Sprintf("is %d bytes", value), fmt.Sprintf("use 0B to %dKiB", high>>10))
	}
}

func (c *checker) checkDuration(key string, value Duration, low, high time.Duration) {
	if time.Duration(value) < low || time.Duration(value) > high {
		c.add(key, fmt.Sprintf("is %s", time.Duration(value)), fmt.Sprintf("use %s to %s", low, high))
	}
}

func notNameRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && !strings.ContainsRune("._-", r)
}

func notPathRune(r rune) bool {
	return r <= ' ' || r == 0x7f || r == '?' || r == '#'
}

func notUpper(r rune) bool { return r < 'A' || r > 'Z' }
