package calls

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/protocol/headers"
)

// maxRequestIDs bounds the IDs that a connection remembers. A request that is sent once more to the
// same target follows within its deadline.
const maxRequestIDs = 32

// requestIDs remembers the last IDs of requests by their hashes.
type requestIDs struct {
	hashes [maxRequestIDs]uint64
	count  int
}

// add notes the ID. It returns false if the ID was noted before. An empty ID is never noted.
func (ids *requestIDs) add(id string) bool {
	if id == "" {
		return true
	}
	hash := xxhash.Sum64String(id)
	for _, known := range ids.hashes[:min(ids.count, maxRequestIDs)] {
		if known == hash {
			return false
		}
	}
	ids.hashes[ids.count%maxRequestIDs] = hash
	ids.count++
	return true
}

// requestIDOf returns the ID by which a target's response names the request; empty if the contract
// has none.
func requestIDOf(contract headers.Contract, header http.Header) string {
	if contract.RequestID == "" {
		return ""
	}
	return header.Get(contract.RequestID)
}
