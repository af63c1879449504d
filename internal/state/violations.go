package state

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Violation describes one validation rule that a ticket breaks.
type Violation struct {
	// Path is the dotted path of the invalid value, such as "routes[0].timeout"; it
	// is empty if the violation concerns the whole ticket.
	Path string
	// Resource is the name of the service, route or tenant that contains the value,
	// or empty.
	Resource string
	// Text says what is wrong with the value, to be read after Path.
	Text string
	// Remedy says what to write instead.
	Remedy string
}

// String formats the violation on one line, with the resource's name in place of
// its index if the name has only valid characters.
func (v Violation) String() string {
	path := v.Path
	if path == "" {
		path = "ticket"
	}
	list, rest, indexed := strings.Cut(path, "[")
	if v.Resource != "" && indexed && !strings.ContainsFunc(v.Resource, notNameRune) {
		_, field, _ := strings.Cut(rest, "]")
		path = fmt.Sprintf("%s[%s]%s", list, v.Resource, field)
	}
	return fmt.Sprintf("%s %s: %s", path, v.Text, v.Remedy)
}

// Validate checks every rule that does not depend on the configuration to which
// the ticket applies. It fails with ErrInvalid, whose text describes the first
// violation.
func (t Ticket) Validate() error {
	violations := t.Violations()
	switch len(violations) {
	case 0:
		return nil
	case 1:
		return ErrInvalid.New("%s", violations[0])
	}
	return ErrInvalid.New("%s (and %d more faults: `jasminegate ticket check` lists them)", violations[0], len(violations)-1)
}

// Violations returns every violation of the rules that Validate checks, in the
// order of the ticket's fields.
func (t Ticket) Violations() []Violation {
	c := checker{seen: make(map[Key]string), keyHolders: make(map[KeyDigest]string)}
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
	for i, tenant := range t.Tenants {
		c.checkTenant(fmt.Sprintf("tenants[%d]", i), tenant)
	}
	c.checkRemovals("remove_services", KindService, t.RemoveServices)
	c.checkRemovals("remove_routes", KindRoute, t.RemoveRoutes)
	c.checkTenantRemovals("remove_tenants", t.RemoveTenants)
	if t.Replace && len(t.RemoveServices)+len(t.RemoveRoutes)+len(t.RemoveTenants) > 0 {
		c.add("replace", "stands beside removals", "leave the removals out: what the ticket does not name is removed")
	}
	if len(c.seen) == 0 && len(c.violations) == 0 && !t.Replace {
		c.add("", "changes nothing", "add services, routes, caller_limits, tenants or removals")
	}
	return c.violations
}

// checker collects the violations of one ticket.
type checker struct {
	violations []Violation
	seen       map[Key]string // path of the first mention of each resource
	resource   string         // name of the resource being checked, or empty
	// keyHolders names the tenant that holds each key.
	keyHolders map[KeyDigest]string
}

func (c *checker) add(path, text, remedy string) {
	c.violations = append(c.violations, Violation{Path: path, Resource: c.resource, Text: text, Remedy: remedy})
}

func (c *checker) checkAuthor(author string) {
	if len(author) > MaxNameBytes {
		c.add("author", fmt.Sprintf("has %d bytes", len(author)), fmt.Sprintf("use at most %d", MaxNameBytes))
	}
}

func (c *checker) checkService(path string, service Service) {
	c.resource = service.Name
	defer func() { c.resource = "" }()
	c.recordResource(path+".name", path, Key{KindService, service.Name})
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
	c.recordResource(path+".name", path, Key{KindRoute, route.Name})
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
		c.recordResource(at, at, Key{kind, name})
	}
}

func (c *checker) checkTenantRemovals(path string, names []string) {
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if text, remedy := CheckName(name, MaxNameBytes); text != "" {
			c.add(at, text, remedy)
			continue
		}
		c.recordOnce(at, at, Key{KindTenant, name})
	}
}

// recordResource checks the name of a resource that the ticket changes or
// removes, and records the resource so that a second mention is rejected.
func (c *checker) recordResource(namePath, path string, key Key) {
	if c.checkName(namePath, key.Name) {
		c.recordOnce(namePath, path, key)
	}
}

func (c *checker) recordOnce(namePath, path string, key Key) {
	if first, ok := c.seen[key]; ok {
		c.add(namePath, fmt.Sprintf("gives %q again, first given at %s", key.Name, first), "give each resource once")
		return
	}
	c.seen[key] = path
}

func (c *checker) checkName(path, name string) bool {
	text, remedy := CheckName(name, MaxNameBytes)
	if text != "" {
		c.add(path, text, remedy)
	}
	return text == ""
}

// CheckName checks a name of at most maxBytes. It returns what is wrong with the
// name and what to write instead; both are empty for a valid name.
func CheckName(name string, maxBytes int) (text, remedy string) {
	switch {
	case name == "":
		return "is missing", "give it a name"
	case len(name) > maxBytes:
		return fmt.Sprintf("has %d bytes", len(name)), fmt.Sprintf("use at most %d", maxBytes)
	case !isPrintable(name):
		return fmt.Sprintf("is %q", name), "use printable characters, without spaces at either end"
	}
	return "", ""
}

// isPrintable reports whether the text can be shown on one line and sent in a header, which
// keeps no spaces at either end.
func isPrintable(text string) bool {
	notPrintable := func(r rune) bool { return !unicode.IsPrint(r) }
	return utf8.ValidString(text) && !strings.ContainsFunc(text, notPrintable) && strings.TrimSpace(text) == text
}

func (c *checker) checkHost(path, host string) {
	if strings.ContainsFunc(host, notNameRune) || host != strings.ToLower(host) {
		c.add(path, fmt.Sprintf("is %q", host), "write the host in lower case without a port, or leave the key out")
	}
}

func (c *checker) checkPathPrefix(path, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(path, fmt.Sprintf("is %q", prefix), "begin it with a slash")
	case len(prefix) > MaxPathBytes:
		c.add(path, fmt.Sprintf("has %d bytes", len(prefix)), fmt.Sprintf("use at most %d", MaxPathBytes))
	case strings.ContainsFunc(prefix, notPathRune):
		c.add(path, fmt.Sprintf("is %q", prefix), "write the path alone, without query, fragment, spaces or control characters")
	}
}

func (c *checker) checkMethods(path string, methods []string) {
	for i, method := range methods {
		if method == "" || strings.ContainsFunc(method, notUpper) {
			c.add(path, fmt.Sprintf("holds %q", method), "write methods in capitals, such as GET, or leave the key out for all")
			return
		}
		if slices.Contains(methods[:i], method) {
			c.add(path, fmt.Sprintf("holds %q twice", method), "give each method once")
			return
		}
	}
}

func (c *checker) checkRange(path string, value, low, high int) {
	if value < low || value > high {
		c.add(path, fmt.Sprintf("is %d", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

// checkSize checks a number of bytes against the limit high, a multiple of 1 KiB.
func (c *checker) checkSize(path string, value, high int64) {
	if value < 0 || value > high {
		c.add(path, fmt.Sprintf("is %d bytes", value), fmt.Sprintf("use 0B to %dKiB", high>>10))
	}
}

func (c *checker) checkDuration(path string, value Duration, low, high time.Duration) {
	if time.Duration(value) < low || time.Duration(value) > high {
		c.add(path, fmt.Sprintf("is %s", time.Duration(value)), fmt.Sprintf("use %s to %s", low, high))
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
