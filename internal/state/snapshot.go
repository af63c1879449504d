package state

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kind tells the kinds of encoded resources apart.
type Kind uint8

// Resource kinds.
const (
	KindService      Kind = 1
	KindRoute        Kind = 2
	KindCallerLimits Kind = 3
)

// callerLimitsKey names the one resource of its kind.
var callerLimitsKey = Key{KindCallerLimits, "callers"}

// Key names one resource.
type Key struct {
	Kind Kind
	Name string
}

// Resource is one service, one route or the callers' limits in canonical encoding. Removed marks that
// the resource is gone; Data is empty then.
type Resource struct {
	Key
	Data    []byte
	Removed bool
}

// Bounds of a whole configuration. They keep a whole state within one message
// and one record of the platform's log.
const (
	MaxResources  = 10_000
	MaxStateBytes = 2 << 20
)

// Snapshot is one immutable configuration. Its zero value is the empty one.
type Snapshot struct {
	version   Version
	resources map[Key][]byte
	services  map[string]Service
	// named holds the routes by name, routes the same in matching order.
	named  map[string]Route
	routes []Route
	limits CallerLimits
}

// Empty returns the configuration before the first ticket.
func Empty() *Snapshot {
	return (&Snapshot{}).copied().sealed(0)
}

// Version returns the snapshot's version.
func (s *Snapshot) Version() Version { return s.version }

// VersionOrNone writes the version for logs; no snapshot has none.
func (s *Snapshot) VersionOrNone() string {
	if s == nil {
		return "none"
	}
	return s.version.String()
}

// Service returns the service of that name.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns all services, ordered by name.
func (s *Snapshot) Services() []Service {
	services := make([]Service, 0, len(s.services))
	for _, service := range s.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// Routes returns all routes, the most specific first.
func (s *Snapshot) Routes() []Route { return s.routes }

// CallerLimits returns the bounds for callers; one that is 0 is left to the node.
func (s *Snapshot) CallerLimits() CallerLimits { return s.limits }

// Resources returns the whole state in canonical encoding and order.
func (s *Snapshot) Resources() []Resource {
	resources := make([]Resource, 0, len(s.resources))
	for _, key := range sortedKeys(s.resources) {
		resources = append(resources, Resource{Key: key, Data: s.resources[key]})
	}
	return resources
}

// With returns the snapshot that follows s when changes are applied at position.
// It fails with ErrUndecodable, ErrDangling or ErrTooLarge and never returns a
// partly changed snapshot.
func (s *Snapshot) With(position uint64, changes []Resource) (*Snapshot, error) {
	next := s.copied()
	for _, change := range changes {
		if err := next.apply(change); err != nil {
			return nil, err
		}
	}
	if err := next.checkSize(); err != nil {
		return nil, err
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	return next.sealed(position), nil
}

// copied returns a copy whose maps may be changed.
func (s *Snapshot) copied() *Snapshot {
	next := &Snapshot{
		resources: make(map[Key][]byte, len(s.resources)),
		services:  make(map[string]Service, len(s.services)),
		named:     make(map[string]Route, len(s.named)),
		limits:    s.limits,
	}
	maps.Copy(next.resources, s.resources)
	maps.Copy(next.services, s.services)
	maps.Copy(next.named, s.named)
	return next
}

func (s *Snapshot) apply(change Resource) error {
	if change.Removed {
		s.remove(change.Key)
		return nil
	}
	switch change.Kind {
	case KindService:
		service, err := decodeResource[Service](change)
		if err != nil {
			return err
		}
		if service.Name != change.Name {
			return misnamed(change.Key, service.Name)
		}
		s.services[change.Name] = service
	case KindRoute:
		route, err := decodeResource[Route](change)
		if err != nil {
			return err
		}
		if route.Name != change.Name {
			return misnamed(change.Key, route.Name)
		}
		s.named[change.Name] = route
	case KindCallerLimits:
		limits, err := decodeResource[CallerLimits](change)
		if err != nil {
			return err
		}
		s.limits = limits
	default:
		return ErrUndecodable.New("resource kind %d of %q is unknown: upgrade this node", change.Kind, change.Name)
	}
	s.resources[change.Key] = change.Data
	return nil
}

func (s *Snapshot) remove(key Key) {
	delete(s.resources, key)
	switch key.Kind {
	case KindService:
		delete(s.services, key.Name)
	case KindRoute:
		delete(s.named, key.Name)
	case KindCallerLimits:
		s.limits = CallerLimits{}
	}
}

func decodeResource[T any](resource Resource) (T, error) {
	var decoded T
	if err := json.Unmarshal(resource.Data, &decoded); err != nil {
		return decoded, ErrUndecodable.New("resource %q: %v: publish it again", resource.Name, err)
	}
	return decoded, nil
}

func misnamed(key Key, name string) error {
	return ErrUndecodable.New("resource %q holds the name %q: publish it again", key.Name, name)
}

func (s *Snapshot) checkSize() error {
	if len(s.resources) > MaxResources {
		return ErrTooLarge.New("the configuration would have %d resources, over the bound of %d: remove some in the same ticket", len(s.resources), MaxResources)
	}
	size := 0
	for _, data := range s.resources {
		size += len(data)
	}
	if size > MaxStateBytes {
		return ErrTooLarge.New("the configuration would have %d bytes, over the bound of %d: remove some in the same ticket", size, MaxStateBytes)
	}
	return nil
}

// checkReferences names the first dangling route by name, so that every node
// gives the same reason.
func (s *Snapshot) checkReferences() error {
	name, missing := "", ""
	for _, route := range s.named {
		for _, destination := range route.EffectiveDestinations() {
			if _, ok := s.services[destination.Service]; !ok && (name == "" || route.Name < name) {
				name, missing = route.Name, destination.Service
			}
		}
	}
	if name == "" {
		return nil
	}
	return ErrDangling.New("route %q leads to service %q, which does not exist: add the service or remove the route in the same ticket", name, missing)
}

// ReplacementChanges returns the changes that lead from s to a configuration that holds
// just the given resources.
func (s *Snapshot) ReplacementChanges(whole []Resource) []Resource {
	var changes []Resource
	kept := make(map[Key]bool, len(whole))
	for _, resource := range whole {
		kept[resource.Key] = true
		if !bytes.Equal(s.resources[resource.Key], resource.Data) {
			changes = append(changes, resource)
		}
	}
	for _, key := range sortedKeys(s.resources) {
		if !kept[key] {
			changes = append(changes, Resource{Key: key, Removed: true})
		}
	}
	return changes
}

// sealed completes s; it is not changed afterwards.
func (s *Snapshot) sealed(position uint64) *Snapshot {
	s.version = Version{Position: position, Digest: digest(s.resources)}
	s.routes = slices.SortedFunc(maps.Values(s.named), compareRoutes)
	return s
}

// compareRoutes puts the more specific route first: a host before none, then
// the longer prefix, then a method list before none, then by name.
func compareRoutes(a, b Route) int {
	if (a.Host == "") != (b.Host == "") {
		return boolOrder(a.Host != "")
	}
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(b.PathPrefix) - len(a.PathPrefix)
	}
	if (len(a.Methods) == 0) != (len(b.Methods) == 0) {
		return boolOrder(len(a.Methods) > 0)
	}
	return strings.Compare(a.Name, b.Name)
}

func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

func digest(resources map[Key][]byte) uint64 {
	hash := xxhash.New()
	for _, key := range sortedKeys(resources) {
		hash.Write([]byte{byte(key.Kind)})
		hash.WriteString(key.Name)
		hash.Write([]byte{0})
		hash.Write(resources[key])
		hash.Write([]byte{0})
	}
	return hash.Sum64()
}

func sortedKeys(resources map[Key][]byte) []Key {
	keys := make([]Key, 0, len(resources))
	for key := range resources {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if a.Kind != b.Kind {
			return int(a.Kind) - int(b.Kind)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return keys
}
