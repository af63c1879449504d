package spread

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/coordination/membership"
)

// topology holds the push tree of the local domain, this node's rank among the readers,
// and what the machine needs of other domains.
type topology struct {
	self membership.Member
	// tree holds the live nodes of the local domain, including this one, ordered by
	// rendezvous hash. It is the push tree in heap order: node i pushes to the nodes
	// i*fanOut+1 to i*fanOut+fanOut.
	tree      []membership.Member
	treeIndex int
	// readerRank is the number of nodes before this one in tree that are not
	// suspected.
	readerRank int
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
	r := topology{self: self, view: view, tree: []membership.Member{self}}
	r.addLiveMembers()
	slices.SortFunc(r.tree, compareRendezvousHash)
	for i, member := range r.tree {
		if member.ID == self.ID {
			r.treeIndex = i
			break
		}
		if member.State != membership.Suspect {
			r.readerRank++
		}
	}
	return r
}

// addLiveMembers adds the live nodes of the local domain to tree, counts those of other
// domains, and ranks the local domain.
func (r *topology) addLiveMembers() {
	seen := map[string]bool{r.self.Domain: true}
	own := xxhash.Sum64String(r.self.Domain)
	for member := range r.liveMembers() {
		if member.Domain == r.self.Domain {
			r.tree = append(r.tree, *member)
			continue
		}
		r.remoteNodes++
		if !seen[member.Domain] && xxhash.Sum64String(member.Domain) < own {
			r.domainRank++
		}
		seen[member.Domain] = true
	}
	r.domainCount = len(seen)
}

// liveMembers yields the other live nodes of the fleet, including suspected ones.
func (r *topology) liveMembers() iter.Seq[*membership.Member] {
	return func(yield func(*membership.Member) bool) {
		if r.view == nil {
			return
		}
		for i := range r.view.Members {
			member := &r.view.Members[i]
			live := member.State == membership.Alive || member.State == membership.Suspect
			if live && member.ID != r.self.ID && !yield(member) {
				return
			}
		}
	}
}

// compareRendezvousHash orders nodes by rendezvous hash (Thaler, Ravishankar: "A
// Name-Based Mapping Scheme for Rendezvous", 1996). A node that joins or leaves does
// not change the order of the others.
func compareRendezvousHash(a, b membership.Member) int {
	return cmp.Or(cmp.Compare(rendezvousHash(a), rendezvousHash(b)), cmp.Compare(a.ID, b.ID))
}

func rendezvousHash(member membership.Member) uint64 {
	return xxhash.Sum64String(member.Domain + "\x00" + member.ID)
}

// isReader reports whether this node is one of its domain's readers.
func (r *topology) isReader(readers int) bool { return r.readerRank < readers }

// isAlone reports whether no other live node is known.
func (r *topology) isAlone() bool { return len(r.tree) == 1 && r.remoteNodes == 0 }

// children returns the nodes that node i pushes to.
func (r *topology) children(i, fanOut int) []membership.Member {
	first := min(i*fanOut+1, len(r.tree))
	end := min(first+fanOut, len(r.tree))
	return r.tree[first:end]
}

// childrenOf returns the nodes that the node with the ID pushes to.
func (r *topology) childrenOf(id string, fanOut int) []membership.Member {
	for i, member := range r.tree {
		if member.ID == id {
			return r.children(i, fanOut)
		}
	}
	return nil
}

// pullPeers returns the live nodes to pull from: the other nodes of the local domain,
// in tree order, or those of other domains if there are none.
func (r *topology) pullPeers() []membership.Member {
	var peers []membership.Member
	if len(r.tree) == 1 {
		for member := range r.liveMembers() {
			peers = append(peers, *member)
		}
		return peers
	}
	for _, member := range r.tree {
		if member.ID != r.self.ID {
			peers = append(peers, member)
		}
	}
	return peers
}
