package spread

import "jasminegate/internal/state"

// checkInstall checks that an installed version is not older than any that the node
// installed before, that it is an accepted state, and that no route refers to a
// missing service.
func (f *fleet) checkInstall(n *node, snapshot *state.Snapshot) {
	version := snapshot.Version()
	if n.highest.Newer(version) {
		f.fail("%s goes back from version %v to %v", n.member.ID, n.highest, version)
	}
	if digest, ok := f.digests[version.Position]; !ok || digest != version.Digest {
		f.fail("%s installs version %v, which is not an accepted state", n.member.ID, version)
	}
	for _, route := range snapshot.Routes() {
		if _, ok := snapshot.Service(route.Service); !ok {
			f.fail("%s has route %q without service %q", n.member.ID, route.Name, route.Service)
		}
	}
	n.highest = version
	n.installed = snapshot
	n.installedAt = f.now
}

// checkCurrent checks that a node which takes its installed configuration for the newest
// at an instant had applied every ticket of the log by then. It guards against keys that
// are accepted although they were removed (tenants.revoke_strict).
func (f *fleet) checkCurrent(n *node, report ReportCurrent) {
	applied := n.machine.Fold().NextOffset()
	if state.EraOf(applied) < state.EraOf(f.logEnd()) && f.restoredAt.Before(report.At) {
		f.fail("%s takes version %v for the newest at %v, but has not read the restored log", n.member.ID, report.Version, report.At)
	}
	if state.EraOf(applied) == state.EraOf(f.logEnd()) && applied < f.logEnd() && !f.appendedAt[state.OffsetOf(applied)].After(report.At) {
		f.fail("%s takes version %v for the newest at %v, but has not applied offset %d", n.member.ID, report.Version, report.At, applied)
	}
	if installedVersion(n) != report.Version {
		f.fail("%s reports version %v, but runs %v", n.member.ID, report.Version, installedVersion(n))
	}
	f.currentReports++
}

// requireConverged fails unless all nodes serve with the newest accepted version.
func (f *fleet) requireConverged() {
	want := f.reference.Version()
	for _, n := range f.nodes {
		if installedVersion(n) != want {
			f.fail("%s is at %v, want %v", n.member.ID, installedVersion(n), want)
		}
	}
}
