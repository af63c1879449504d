package entry

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jasminegate/internal/coordination/rollout"
)

// knownForChangeBounds is how many change bounds a version must have been known as the only one to
// count as serving when an order names it.
const knownForChangeBounds = 2

// VersionPolicy decides to which versions of a service's targets attempts may go. Each attempt
// begins with Route and ends with Cancel or Observe.
type VersionPolicy interface {
	// SetEndpoints replaces the endpoints of all services.
	SetEndpoints(now time.Time, endpoints []Endpoint)
	// Route decides where one attempt of a call on the route goes.
	Route(now time.Time, service, route string) VersionChoice
	// Fallback is the choice for an attempt whose choice of a new version was cancelled.
	Fallback(now time.Time, service string) VersionChoice
	// Sent says which endpoint was chosen.
	Sent(choice VersionChoice, endpoint Endpoint)
	// Cancel takes back an attempt for which there was no endpoint.
	Cancel(choice VersionChoice)
	// Observe notes the end of an attempt that was sent to a target of the version.
	Observe(now time.Time, choice VersionChoice, service, version string, outcome rollout.Outcome)
}

// VersionChoice restricts the endpoints of one attempt. The zero value restricts nothing.
type VersionChoice struct {
	// Restricted means that the attempt may go only to targets of Versions, and only to the
	// nodes Endpoints if that is not empty.
	Restricted bool
	Versions   []string
	Endpoints  []string
	// New means that the attempt goes to the new version of a running rollout.
	New bool
	// Running means that a rollout of the service is running.
	Running bool

	attempt uint64
	node    *rollout.Node
	// sentVersion is the version of the chosen endpoint's target.
	sentVersion string
}

// allows reports whether the attempt may go to the endpoint.
func (c *VersionChoice) allows(e *endpoint) bool {
	if !c.Restricted {
		return true
	}
	return slices.Contains(c.Versions, e.Version) && (len(c.Endpoints) == 0 || slices.Contains(c.Endpoints, e.ID))
}

// VersionOptions configures Versions.
type VersionOptions struct {
	// Node, Incarnation and Domain are those of this node.
	Node        string
	Incarnation uint64
	Domain      string
	Settings    rollout.Settings
	Seed        uint64
}

// Versions is the policy of rollouts. Calls go to the current version of a service: that of its
// rollout record, or, without one, the one that most of its targets had at first. It is not safe for
// concurrent use.
//
// Load pattern: targets of a new version join a service, ready, before the node knows of the order
// to roll the version out, or without any order; a bad version must not get calls then.
type Versions struct {
	options  VersionOptions
	random   *rand.Rand
	services map[string]*serviceVersions
	// settledAt is when the first endpoints have been known for a change bound; until then a node that has
	// just started may know few of them.
	settledAt time.Time
}

// serviceVersions is what is known of the versions of one service.
type serviceVersions struct {
	// record is that of the newest order; its Order is 0 if there is none.
	record rollout.Record
	// node is this node's part of that order's rollout.
	node *rollout.Node
	// current is the version that serves, if known is set.
	current string
	known   bool
	// present holds the versions that the service's ready targets have, or had within the change bound.
	present map[string]presentVersion
	// retired holds the versions that a completed rollout replaced. They get calls only if no target of
	// the current version is left.
	retired map[string]bool
	// held holds the versions of rollouts that ended without completion. They get no calls.
	held map[string]bool
	// heldOnlySince is since when all targets are of held versions; zero if others exist.
	heldOnlySince time.Time
}

// presentVersion is a version that targets of a service have.
type presentVersion struct {
	targets   int
	firstSeen time.Time
	// lastSeen is when there was a target last.
	lastSeen time.Time
}

// NewVersions returns a policy without records and endpoints.
func NewVersions(options VersionOptions) *Versions {
	return &Versions{
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Incarnation^1)),
		services: make(map[string]*serviceVersions),
	}
}

func (v *Versions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{present: make(map[string]presentVersion), retired: make(map[string]bool), held: make(map[string]bool)}
		v.services[name] = s
	}
	return s
}

// SetEndpoints implements VersionPolicy.
func (v *Versions) SetEndpoints(now time.Time, endpoints []Endpoint) {
	if v.settledAt.IsZero() && len(endpoints) > 0 {
		v.settledAt = now.Add(v.options.Settings.ChangeBound)
	}
	counts := make(map[string]map[string]int)
	for _, e := range endpoints {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
			v.service(e.Service)
		}
		counts[e.Service][e.Version]++
	}
	for name, s := range v.services {
		s.setPresent(now, counts[name], v.options.Settings.ChangeBound, now.Before(v.settledAt))
	}
}

func (s *serviceVersions) setPresent(now time.Time, counts map[string]int, changeBound time.Duration, settling bool) {
	for version, p := range s.present {
		if p.targets = counts[version]; p.targets == 0 && now.Sub(p.lastSeen) >= changeBound {
			delete(s.present, version)
			continue
		}
		s.present[version] = p
	}
	onlyHeld := len(counts) > 0
	for version, targets := range counts {
		p, known := s.present[version]
		if !known {
			p.firstSeen = now
		}
		p.targets, p.lastSeen = targets, now
		s.present[version] = p
		onlyHeld = onlyHeld && s.held[version]
	}
	switch {
	case !onlyHeld:
		s.heldOnlySince = time.Time{}
	case s.heldOnlySince.IsZero():
		s.heldOnlySince = now
	}
	if target := s.record.TargetVersion; s.record.Phase == rollout.Completed && s.present[target].targets > 0 {
		s.current, s.known = target, true
	}
	if _, present := s.present[s.current]; s.known && (present && !(settling && s.record.Order == 0) || s.running()) {
		return
	}
	if version, found := s.mostFrequent(); found {
		s.current, s.known = version, true
	}
}

// mostFrequent returns the version that most targets have, leaving out those that get no calls;
// the least by name of several.
func (s *serviceVersions) mostFrequent() (version string, found bool) {
	most := 0
	for _, candidate := range slices.Sorted(maps.Keys(s.present)) {
		if targets := s.present[candidate].targets; targets > most && !s.held[candidate] && !s.isNew(candidate) {
			version, found, most = candidate, true, targets
		}
	}
	return version, found
}

// isNew reports whether the version is the one of a running rollout.
func (s *serviceVersions) isNew(version string) bool {
	return s.running() && version == s.record.TargetVersion && s.record.PreviousVersion != version
}

func (s *serviceVersions) running() bool { return s.record.Order > 0 && !s.record.Phase.Final() }

// Previous returns the version that serves when an order to roll out target is accepted; it is empty
// if that is not known. It is target only if that has been the only version for longer than a new
// node, or a target that starts with the order, can have known it: an error would make all nodes take
// the new version for one that serves already.
func (v *Versions) Previous(now time.Time, service, target string) string {
	s := v.services[service]
	if s == nil {
		return ""
	}
	if s.known && s.current != target && (s.present[s.current].targets > 0 || s.record.Order > 0) {
		return s.current
	}
	most, previous := 0, ""
	for _, version := range slices.Sorted(maps.Keys(s.present)) {
		if targets := s.present[version].targets; targets > most && version != target && !s.held[version] {
			most, previous = targets, version
		}
	}
	if p := s.present[target]; most == 0 && p.targets > 0 && now.Sub(p.firstSeen) >= knownForChangeBounds*v.options.Settings.ChangeBound {
		return target
	}
	return previous
}

// SetRecord takes over the newest record of a service.
func (v *Versions) SetRecord(now time.Time, r rollout.Record) {
	s := v.service(r.Service)
	previous := s.record
	if r.Order < previous.Order {
		return
	}
	if r.Order > previous.Order {
		if s.running() && previous.TargetVersion != r.TargetVersion && previous.PreviousVersion != previous.TargetVersion {
			s.held[previous.TargetVersion] = true // replaced before it had a result
		}
		s.node = rollout.NewNode(v.options.Node, v.options.Incarnation, v.options.Domain, r, v.options.Settings, v.random)
		delete(s.held, r.TargetVersion)
		delete(s.retired, r.TargetVersion)
	} else {
		s.node.Learn(now, r)
	}
	s.record = s.node.Record()
	s.followRecord()
}

func (s *serviceVersions) followRecord() {
	r := s.record
	switch r.Phase {
	case rollout.Completed:
		for version := range s.present {
			s.retired[version] = true
		}
		s.retired[r.PreviousVersion] = true
		delete(s.retired, r.TargetVersion)
		delete(s.held, r.TargetVersion)
		s.current, s.known = r.TargetVersion, true
		return
	case rollout.RolledBack:
		if r.PreviousVersion != r.TargetVersion {
			s.held[r.TargetVersion] = true
		}
	}
	if r.PreviousVersion != "" {
		s.current, s.known = r.PreviousVersion, true
	} else if s.current == r.TargetVersion {
		s.current, s.known = s.mostFrequent()
	}
}

// Node returns this node's part of the service's newest order, or nil.
func (v *Versions) Node(service string) *rollout.Node {
	if s := v.services[service]; s != nil {
		return s.node
	}
	return nil
}

// Refuses reports whether the gate must refuse new calls for its target of the service and
// version. After a completed rollout it does so only while the new version has targets.
func (v *Versions) Refuses(now time.Time, service, version string) bool {
	s := v.services[service]
	if s == nil || s.node == nil {
		return false
	}
	if s.record.Phase == rollout.Completed {
		return s.retired[version] && version != "" && s.present[s.record.TargetVersion].targets > 0
	}
	return s.node.Refuses(now, version)
}

// Route implements VersionPolicy.
func (v *Versions) Route(now time.Time, service, route string) VersionChoice {
	s := v.services[service]
	if s == nil {
		return VersionChoice{}
	}
	if !s.running() {
		return s.ordinary(now, v.options.Settings.ChangeBound)
	}
	decision := s.node.Route(now, route)
	if !decision.New {
		choice := s.ordinary(now, v.options.Settings.ChangeBound)
		choice.attempt, choice.node = decision.Attempt, s.node
		return choice
	}
	return VersionChoice{
		Restricted: true, Versions: []string{decision.Version}, Endpoints: decision.Endpoints,
		New: true, Running: true, attempt: decision.Attempt, node: s.node,
	}
}

// Fallback implements VersionPolicy.
func (v *Versions) Fallback(now time.Time, service string) VersionChoice {
	if s := v.services[service]; s != nil {
		return s.ordinary(now, v.options.Settings.ChangeBound)
	}
	return VersionChoice{}
}

// ordinary returns the choice for an attempt that does not go to the new version of a rollout.
func (s *serviceVersions) ordinary(now time.Time, changeBound time.Duration) VersionChoice {
	choice := VersionChoice{Running: s.running()}
	currentLeft := s.present[s.current].targets > 0
	// A version that gets no calls is left out by name only: a target of it may join at any moment.
	choice.Restricted = len(s.held) > 0 || s.isNew(s.record.TargetVersion)
	for version, p := range s.present {
		choice.Restricted = choice.Restricted || p.targets > 0 && !s.serves(now, version, p, currentLeft, changeBound)
	}
	if !choice.Restricted {
		return choice
	}
	for version, p := range s.present {
		if p.targets > 0 && s.serves(now, version, p, currentLeft, changeBound) {
			choice.Versions = append(choice.Versions, version)
		}
	}
	return choice
}

// serves reports whether calls may go to a version outside of a rollout's grants.
func (s *serviceVersions) serves(now time.Time, version string, p presentVersion, currentLeft bool, changeBound time.Duration) bool {
	switch {
	case s.isNew(version):
		return false
	case s.held[version]:
		return !s.heldOnlySince.IsZero() && now.Sub(s.heldOnlySince) >= changeBound
	case version == s.current, !currentLeft:
		return true
	default:
		return !s.retired[version] && now.Sub(p.firstSeen) >= changeBound
	}
}

// Sent implements VersionPolicy.
func (v *Versions) Sent(choice VersionChoice, endpoint Endpoint) {
	if choice.node != nil {
		choice.node.Sent(choice.attempt, endpoint.ID)
	}
}

// Cancel implements VersionPolicy.
func (v *Versions) Cancel(choice VersionChoice) {
	if choice.node != nil {
		choice.node.Cancel(choice.attempt)
	}
}

// Observe implements VersionPolicy.
func (v *Versions) Observe(now time.Time, choice VersionChoice, _, _ string, outcome rollout.Outcome) {
	if choice.node != nil {
		choice.node.Observe(now, choice.attempt, outcome)
	}
}

// ServiceVersion is a version of a service's targets as operators see it.
type ServiceVersion struct {
	Version string
	Targets int
	// Current, Held and Retired are as in Versions.
	Current, Held, Retired bool
}

// Present returns the versions of the service's ready targets, ordered by name.
func (v *Versions) Present(service string) []ServiceVersion {
	s := v.services[service]
	if s == nil {
		return nil
	}
	var list []ServiceVersion
	for version, p := range s.present {
		if p.targets > 0 {
			list = append(list, ServiceVersion{
				Version: version, Targets: p.targets, Current: s.known && version == s.current,
				Held: s.held[version] || s.isNew(version), Retired: s.retired[version],
			})
		}
	}
	slices.SortFunc(list, func(a, b ServiceVersion) int { return cmp.Compare(a.Version, b.Version) })
	return list
}
