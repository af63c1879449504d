package state

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a resource. Its values are part of the wire format and of
// the digest.
type Kind uint8

// Resource kinds.
const (
	KindService      Kind = 1
	KindRoute        Kind = 2
	KindCallerLimits Kind = 3
	KindTenant       Kind = 4
)

// callerLimitsKey identifies the caller limits, the only resource of their kind.
var callerLimitsKey = Key{KindCallerLimits, "callers"}

// Key identifies one resource.
type Key struct {
	Kind Kind
	Name string
}

// Resource is one service, route or tenant, or the caller limits, in canonical encoding.
// If Removed is set, the resource is deleted and Data is empty.
type Resource struct {
	Key
	Data    []byte
	Removed bool
}

// Limits of a whole configuration. They bound a node's memory. The limits of tickets,
// updates, messages and responses follow from them, so that a configuration within
// these limits is never refused further on.
const (
	MaxResources  = 50_000
	MaxStateBytes = 8 << 20
)

// Snapshot is one immutable configuration. Its zero value is the empty
// configuration.
type Snapshot struct {
	version   Version
	resources map[Key][]byte
	services  map[string]Service
	// routesByName maps the routes by name; routes lists them in matching order.
	routesByName map[string]Route
	routes       []Route
	callerLimits CallerLimits
	// tenants are shared between snapshots; each is immutable. tenantsByKey is that
	// of an earlier snapshot while tenantsChanged is set.
	tenants        map[string]*Tenant
	tenantsByKey   tenantIndex
	tenantsChanged bool
}

// Empty returns the configuration before the first ticket.
func Empty() *Snapshot {
	return (&Snapshot{}).clone().finalize(0)
}

// Version returns the snapshot's version.
func (s *Snapshot) Version() Version { return s.version }

// VersionOrNone formats the version for logs; it is "none" for a nil snapshot.
func (s *Snapshot) VersionOrNone() string {
	if s == nil {
		return "none"
	}
	return s.version.String()
}

// Service returns the service with the given name, and whether it exists.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []Service {
	services := make([]Service, 0, len(s.services))
	for _, service := range s.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// Routes returns all routes in matching order, the most specific first. The slice
// must not be changed.
func (s *Snapshot) Routes() []Route { return s.routes }

// CallerLimits returns the limits for callers. For a limit of 0 the node's own
// setting applies.
func (s *Snapshot) CallerLimits() CallerLimits { return s.callerLimits }

// Resources returns the full state in canonical encoding and order.
func (s *Snapshot) Resources() []Resource {
	resources := make([]Resource, 0, len(s.resources))
	for _, key := range sortedKeys(s.resources) {
		resources = append(resources, Resource{Key: key, Data: s.resources[key]})
	}
	return resources
}

// With returns a new snapshot with the changes applied to s and its version at
// position. It fails with ErrUndecodable, ErrDangling, ErrAmbiguousKey or ErrTooLarge;
// s is never changed.
func (s *Snapshot) With(position uint64, changes []Resource) (*Snapshot, error) {
	next := s.clone()
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
	if err := next.indexTenants(); err != nil {
		return nil, err
	}
	return next.finalize(position), nil
}

// clone returns a copy with maps of its own, without version and sorted routes.
func (s *Snapshot) clone() *Snapshot {
	next := &Snapshot{
		resources:    make(map[Key][]byte, len(s.resources)),
		services:     make(map[string]Service, len(s.services)),
		routesByName: make(map[string]Route, len(s.routesByName)),
		callerLimits: s.callerLimits,
		tenants:      make(map[string]*Tenant, len(s.tenants)),
		tenantsByKey: s.tenantsByKey,
	}
	maps.Copy(next.resources, s.resources)
	maps.Copy(next.services, s.services)
	maps.Copy(next.routesByName, s.routesByName)
	maps.Copy(next.tenants, s.tenants)
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
			return nameMismatch(change.Key, service.Name)
		}
		s.services[change.Name] = service
	case KindRoute:
		route, err := decodeResource[Route](change)
		if err != nil {
			return err
		}
		if route.Name != change.Name {
			return nameMismatch(change.Key, route.Name)
		}
		s.routesByName[change.Name] = route
	case KindCallerLimits:
		limits, err := decodeResource[CallerLimits](change)
		if err != nil {
			return err
		}
		s.callerLimits = limits
	case KindTenant:
		tenant, err := decodeResource[Tenant](change)
		if err != nil {
			return err
		}
		if tenant.Name != change.Name {
			return nameMismatch(change.Key, tenant.Name)
		}
		s.tenants[change.Name] = &tenant
		s.tenantsChanged = true
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
		delete(s.routesByName, key.Name)
	case KindCallerLimits:
		s.callerLimits = CallerLimits{}
	case KindTenant:
		delete(s.tenants, key.Name)
		s.tenantsChanged = true
	}
}

func decodeResource[T any](resource Resource) (T, error) {
	var decoded T
	if err := json.Unmarshal(resource.Data, &decoded); err != nil {
		return decoded, ErrUndecodable.New("resource %q: %v: publish it again", resource.Name, err)
	}
	return decoded, nil
}

func nameMismatch(key Key, name string) error {
	return ErrUndecodable.New("resource %q is encoded with the name %q: publish it again", key.Name, name)
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

// checkReferences checks that every service to which a route refers exists. It
// reports the route with the lowest name, so that every node gives the same reason.
func (s *Snapshot) checkReferences() error {
	name, missing := "", ""
	for _, route := range s.routesByName {
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

// ReplacementChanges returns the changes that turn s into a configuration with
// exactly the given resources.
func (s *Snapshot) ReplacementChanges(resources []Resource) []Resource {
	var changes []Resource
	wanted := make(map[Key]bool, len(resources))
	for _, resource := range resources {
		wanted[resource.Key] = true
		if !bytes.Equal(s.resources[resource.Key], resource.Data) {
			changes = append(changes, resource)
		}
	}
	for _, key := range sortedKeys(s.resources) {
		if !wanted[key] {
			changes = append(changes, Resource{Key: key, Removed: true})
		}
	}
	return changes
}

// Numbered returns the snapshot with the number of the ticket that was accepted last.
func (s *Snapshot) Numbered(number uint64) *Snapshot {
	numbered := *s
	numbered.version.Number = number
	return &numbered
}

// finalize sets the version and the sorted routes of s and returns s, which must
// not be changed afterwards.
func (s *Snapshot) finalize(position uint64) *Snapshot {
	s.version = Version{Position: position, Digest: digest(s.resources)}
	s.routes = slices.SortedFunc(maps.Values(s.routesByName), compareRoutes)
	return s
}

// compareRoutes orders the more specific route first: a route with a host before
// one without, then the longer path prefix, then a route with methods before one
// without, then by name.
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
