package spread

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/coordination/membership"
)

// topology holds the push tree of the local domain and this node's ranks that
// determine the readers and the staggering of checkpoints.
type topology struct {
	self membership.Member
	// tree holds the live nodes of the local domain, including this one, ordered by
	// bandwidth, then rendezvous hash. It is the push tree in heap order: node i pushes
	// to the nodes i*fanOut+1 to i*fanOut+fanOut.
	tree      []membership.Member
	treeIndex int
	// readerRank is the number of nodes before this one in tree that are not suspected and
	// reach the platform's log, as far as is known. cutOffBefore is the number of those that
	// do not reach it.
	readerRank   int
	cutOffBefore int
	// view is the member table that the topology was built from; it may be nil.
	view *membership.View
	// remoteNodes is the number of live nodes in other domains.
	remoteNodes int
	// domainCount is the number of domains with live nodes, including the local one.
	// domainRank is the number of those whose hash is below that of the local domain.
	domainCount int
	domainRank  int
}

func newTopology(self membership.Member, view *membership.View) topology {
	t := topology{self: self, view: view, tree: []membership.Member{self}}
	t.addLiveMembers()
	slices.SortFunc(t.tree, compareTreeOrder)
	for i, member := range t.tree {
		if member.ID == self.ID {
			t.treeIndex = i
			break
		}
		if member.State == membership.Suspect {
			continue
		}
		if member.LogUnreachable {
			t.cutOffBefore++
			continue
		}
		t.readerRank++
	}
	return t
}

// addLiveMembers adds the live nodes of the local domain to tree, counts those of
// other domains, and ranks the local domain.
func (t *topology) addLiveMembers() {
	seen := map[string]bool{t.self.Domain: true}
	own := xxhash.Sum64String(t.self.Domain)
	for member := range t.liveMembers() {
		if member.Domain == t.self.Domain {
			t.tree = append(t.tree, *member)
			continue
		}
		t.remoteNodes++
		if !seen[member.Domain] && xxhash.Sum64String(member.Domain) < own {
			t.domainRank++
		}
		seen[member.Domain] = true
	}
	t.domainCount = len(seen)
}

// liveMembers yields the other live nodes of the fleet, including suspected ones.
func (t *topology) liveMembers() iter.Seq[*membership.Member] {
	return func(yield func(*membership.Member) bool) {
		if t.view == nil {
			return
		}
		for i := range t.view.Members {
			member := &t.view.Members[i]
			live := member.State == membership.Alive || member.State == membership.Suspect
			if live && member.ID != t.self.ID && !yield(member) {
				return
			}
		}
	}
}

// compareTreeOrder orders nodes by bandwidth, the greatest first, then by rendezvous
// hash. The first nodes read whole tickets and push to others.
func compareTreeOrder(a, b membership.Member) int {
	return cmp.Or(cmp.Compare(b.BandwidthKbps, a.BandwidthKbps), compareRendezvousHash(a, b))
}

// compareRendezvousHash orders nodes by rendezvous hash (Thaler, Ravishankar: "A
// Name-Based Mapping Scheme for Rendezvous", 1996). A node that joins or leaves
// does not change the order of the others. Package membership chooses relays by
// another hash, so the readers and the relays of a domain are chosen independently.
func compareRendezvousHash(a, b membership.Member) int {
	return cmp.Or(cmp.Compare(rendezvousHash(a), rendezvousHash(b)), cmp.Compare(a.ID, b.ID))
}

func rendezvousHash(member membership.Member) uint64 {
	return xxhash.Sum64String(member.Domain + "\x00" + member.ID)
}

// isReader reports whether this node is one of its domain's readers: the first nodes of the
// tree that reach the log, and those before them, which try again. For each node that does
// not reach it one more tries, so that those who do are found in few steps.
func (t *topology) isReader(readers int) bool { return t.readerRank < readers+t.cutOffBefore }

// isDesignatedReader reports whether this node is a reader even if all nodes before it reach
// the log.
func (t *topology) isDesignatedReader(readers int) bool {
	return t.readerRank+t.cutOffBefore < readers
}

// isReaderAmong reports whether self is a reader of its domain if all the given nodes run.
// It is false if none of them is given.
func isReaderAmong(self membership.Member, registered []membership.Member, readers int) bool {
	rank := 0
	for _, member := range registered {
		if member.Domain == self.Domain && member.ID != self.ID && compareTreeOrder(member, self) < 0 {
			rank++
		}
	}
	return len(registered) > 0 && rank < readers
}

// isAlone reports whether no other live node is known.
func (t *topology) isAlone() bool { return len(t.tree) == 1 && t.remoteNodes == 0 }

// children returns the nodes that node i pushes to.
func (t *topology) children(i, fanOut int) []membership.Member {
	first := min(i*fanOut+1, len(t.tree))
	end := min(first+fanOut, len(t.tree))
	return t.tree[first:end]
}

// childrenOf returns the nodes that the node with the ID pushes to.
func (t *topology) childrenOf(id string, fanOut int) []membership.Member {
	for i, member := range t.tree {
		if member.ID == id {
			return t.children(i, fanOut)
		}
	}
	return nil
}

// pullPeers returns the live nodes to pull from: the other nodes of the local
// domain, in tree order, or those of other domains if there are none.
func (t *topology) pullPeers() []membership.Member {
	var peers []membership.Member
	if len(t.tree) == 1 {
		for member := range t.liveMembers() {
			peers = append(peers, *member)
		}
		return peers
	}
	for _, member := range t.tree {
		if member.ID != t.self.ID {
			peers = append(peers, member)
		}
	}
	return peers
}
