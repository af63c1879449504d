package spread

import "jasminegate/internal/state"

// checkInstall checks the invariants of one install.
func (f *fleet) checkInstall(n *node, snapshot *state.Snapshot) {
	version := snapshot.Version()
	if version.Position < n.highest.Position {
		f.fail("%s goes back from %v to %v", n.member.ID, n.highest, version)
	}
	if digest, ok := f.digests[version.Position]; !ok || digest != version.Digest {
		f.fail("%s installs %v, which no accepted ticket leads to", n.member.ID, version)
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

func (f *fleet) requireConverged() {
	want := f.reference.Version()
	for _, n := range f.nodes {
		if installedVersion(n) != want {
			f.fail("%s is at %v, want %v", n.member.ID, installedVersion(n), want)
		}
	}
}
