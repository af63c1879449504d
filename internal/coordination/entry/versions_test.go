package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/rollout"
)

// versionDriver is a driver with the policy of rollouts: near-0 to near-2 are of v1.
type versionDriver struct {
	*is.I
	*driver
	versions *Versions
}

func versioned(list []Endpoint, version string) []Endpoint {
	for i := range list {
		list[i].Version = version
	}
	return list
}

func oldAndNew(more ...Endpoint) []Endpoint {
	return append(versioned(endpoints("near", 0, 3), "v1"), more...)
}

func newVersionDriver(t *testing.T) *versionDriver { return newPlacedVersionDriver(t, false) }

func newPlacedVersionDriver(t *testing.T, expectedTime bool) *versionDriver {
	settings := rollout.DefaultSettings()
	settings.ExposeShare = 0.1
	versions := NewVersions(VersionOptions{Node: "n", Incarnation: 1, Domain: "near", Settings: settings, Seed: 1})
	machine := New(Options{Node: "n", Incarnation: 1, Domain: "near", RetryRatio: 0.1, SpillLoad: 1, OverloadTries: 3, Seed: 1, Versions: versions, ExpectedTime: expectedTime})
	d := &versionDriver{I: is.New(t), driver: &driver{machine: machine, now: start}, versions: versions}
	d.set(oldAndNew()...)
	d.now = d.now.Add(slowStartWindow)
	return d
}

func (d *versionDriver) set(list ...Endpoint) { d.machine.Step(d.now, SetEndpoints{list}) }

// toNew returns how many of n calls go to near-3 or near-4.
func (d *versionDriver) toNew(n int) int {
	count := d.distribute(n, idle)
	return count["near-3"] + count["near-4"]
}

func (d *versionDriver) record(order uint64, phase rollout.Phase) rollout.Record {
	return rollout.Record{Service: "depot", Order: order, TargetVersion: "v2", PreviousVersion: "v1", Duration: 12 * time.Second, AcceptedAt: d.now, Phase: phase}
}

// grant lets the node send calls to the new version, as a coordinator does.
func (d *versionDriver) grant(phase rollout.Phase, calls uint32) {
	node := d.versions.Node("depot")
	record := d.record(node.Record().Order, phase)
	node.Apply(d.now, node.Report(d.now, "", 0), rollout.Directive{Record: record, Grant: calls, GrantFor: time.Second, Share: 1})
	d.versions.SetRecord(d.now, record)
}

// TestVersionWithoutOrderGetsCalls guards against calls to a new version whose order the node does
// not know yet, and against a version that is kept out without any order.
func TestVersionWithoutOrderGetsCalls(t *testing.T) {
	d := newVersionDriver(t)
	added := versioned(endpoints("near", 3, 2), "v2")
	d.set(oldAndNew(added...)...)
	d.Equal(d.toNew(500), 0)
	d.now = d.now.Add(d.versions.options.Settings.ChangeBound + slowStartWindow)
	d.True(d.toNew(500) > 100) // without an order the version serves like the other one

	d = newVersionDriver(t)
	d.set(added...)
	d.Equal(d.toNew(50), 50) // no other target is left
}

// TestGrantIsExceeded guards against calls to a version under rollout without a grant or
// beyond it, by first attempts and by retries.
func TestGrantIsExceeded(t *testing.T) {
	d := newVersionDriver(t)
	d.set(oldAndNew(versioned(endpoints("near", 3, 2), "v2")...)...)
	d.versions.SetRecord(d.now, d.record(1, rollout.Pending))
	d.now = d.now.Add(time.Minute)
	d.Equal(d.toNew(100), 0)
	d.grant(rollout.Canary, 5)
	attempts := 0
	for range 20 { // each call is refused by the target's gate once
		send := d.begin(true).(Send)
		for range 2 {
			if send.Endpoint.Version == "v2" {
				attempts++
			}
			if next := d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.NotRun, Reason: call.ReasonTooLate}); len(next) > 0 {
				send, _ = next[0].(Send)
			}
		}
		d.machine.Step(d.now, End{Handle: d.handle})
	}
	d.Equal(attempts, 5)
	d.grant(rollout.Canary, 5)
	d.now = d.now.Add(time.Second)
	d.Equal(d.toNew(100), 0) // the grant has ended
}

// TestStaleEndpointsLiftRestriction: calls went to all versions while the policy knew older endpoints
// than the machine.
func TestStaleEndpointsLiftRestriction(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Canary, rollout.RolledBack} {
		d := newVersionDriver(t)
		d.set(oldAndNew(versioned(endpoints("near", 3, 2), "v2")...)...)
		d.versions.SetRecord(d.now, d.record(1, phase))
		d.versions.SetEndpoints(d.now, oldAndNew())
		d.now = d.now.Add(slowStartWindow)
		d.Equal(d.toNew(200), 0)
	}
}

// TestOldVersionIsLostWithoutNewEndpoint: a call that may go to the new version must go to the old
// one if no new target takes it, and must not be charged to the grant.
func TestOldVersionIsLostWithoutNewEndpoint(t *testing.T) {
	d := newVersionDriver(t)
	d.versions.SetRecord(d.now, d.record(1, rollout.Pending))
	d.grant(rollout.Canary, 5)
	d.Equal(len(d.distribute(30, idle)), 3)
	d.Equal(d.versions.Node("depot").Report(d.now, "", 0).Exposed, uint64(0))
}

// TestResultsRoute guards against calls to a version that was rolled back or replaced, also if it
// is the order's previous version that fails to be ready for a moment.
func TestResultsRoute(t *testing.T) {
	d := newVersionDriver(t)
	added := versioned(endpoints("near", 3, 2), "v2")
	d.set(oldAndNew(added...)...)
	d.versions.SetRecord(d.now, d.record(1, rollout.RolledBack))
	d.now = d.now.Add(time.Minute)
	d.Equal(d.toNew(200), 0)
	d.set(added...)
	_, failed := d.begin(true).(Fail)
	d.True(failed) // the old targets may be back soon
	d.now = d.now.Add(d.versions.options.Settings.ChangeBound)
	d.Equal(d.toNew(50), 50) // it is the only version left

	d = newVersionDriver(t)
	d.set(oldAndNew(added...)...)
	d.versions.SetRecord(d.now, d.record(1, rollout.Canary))
	replacing := d.record(2, rollout.Pending)
	replacing.TargetVersion = "v3"
	d.versions.SetRecord(d.now, replacing)
	d.now = d.now.Add(time.Minute)
	d.Equal(d.toNew(200), 0) // the replaced order's version

	d.versions.SetRecord(d.now, d.record(3, rollout.Completed))
	d.Equal(d.toNew(200), 200)
	d.True(d.versions.Refuses(d.now, "depot", "v1"))
	d.True(!d.versions.Refuses(d.now, "depot", "v2"))
	d.set(oldAndNew()...)
	d.True(!d.versions.Refuses(d.now, "depot", "v1")) // no target of the new version is left
	d.Equal(d.toNew(30), 0)
}

// TestRollbackFindsNoOldTarget: gates of old targets refuse calls while the traffic shifts. After a
// rollback the entry must use them again at once, not after the time for draining gates.
func TestRollbackFindsNoOldTarget(t *testing.T) {
	d := newVersionDriver(t)
	added := versioned(endpoints("near", 3, 1), "v2")
	d.set(oldAndNew(added...)...)
	d.versions.SetRecord(d.now, d.record(1, rollout.Shifting))
	for range 3 {
		d.begin(true)
		for range 3 {
			d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.NotRun, Reason: call.ReasonLeaving})
		}
		d.machine.Step(d.now, End{Handle: d.handle})
	}
	d.Equal(d.machine.ChargedRetries(), uint64(0))
	d.versions.SetRecord(d.now, d.record(1, rollout.RolledBack))
	d.now = d.now.Add(rolloutUnavailableTime)
	d.Equal(d.toNew(60), 0)
}

// TestNewVersionIsTakenForServing guards against an order that is accepted by a node that has just
// started and knows targets of the new version only: with the new version as the one that serves,
// all nodes sent it all their calls.
func TestNewVersionIsTakenForServing(t *testing.T) {
	d := newVersionDriver(t)
	added := versioned(endpoints("near", 3, 2), "v2")
	other := NewVersions(d.versions.options)
	other.SetEndpoints(d.now, added)
	d.Equal(other.Previous(d.now, "depot", "v2"), "")
	other.SetEndpoints(d.now, oldAndNew(added...))
	d.Equal(other.Previous(d.now, "depot", "v2"), "v1")

	choice := other.Route(d.now, "depot", "r") // of a node that has just started, and learns of the old targets after the new ones
	d.True(choice.Restricted)
	d.Equal(choice.Versions, []string{"v1"})

	only := NewVersions(d.versions.options)
	only.SetEndpoints(d.now, added)
	d.Equal(only.Previous(d.now.Add(time.Minute), "depot", "v2"), "v2") // it serves already
}

// TestExpectedTimeIgnoresVersions guards against calls to a held version, by first attempts and by
// retries after refusals, where calls are placed by expected time.
func TestExpectedTimeIgnoresVersions(t *testing.T) {
	d := newPlacedVersionDriver(t, true)
	d.set(oldAndNew(versioned(endpoints("near", 3, 2), "v2")...)...)
	d.Equal(d.toNew(500), 0)
	for handle := range uint64(20) { // within the change bound
		actions := d.machine.Step(d.now, Begin{Handle: 1_000_000 + handle, Service: "depot", MaxAttempts: 3, Deadline: d.now.Add(time.Second)})
		for len(actions) == 1 {
			sent, ok := actions[0].(Send)
			if !ok {
				break
			}
			d.Equal(sent.Endpoint.Version, "v1")
			actions = d.machine.Step(d.now, Refused{Handle: sent.Handle, Outcome: call.NotRun, Reason: call.ReasonTooLate})
		}
		d.now = d.now.Add(overloadAvoidTime)
	}
}
