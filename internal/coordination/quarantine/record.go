package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesIfAlone is the number of crashes from which a request is refused that was the only
	// suspect in one of them, and crashesIfAgain that for one that came again and shared each
	// crash with other suspects.
	crashesIfAlone = 2
	crashesIfAgain = 3
	// maxCrashes bounds the crashes that a record lists.
	maxCrashes = 8
)

// Description names a request for operators.
type Description struct {
	Method string
	URI    string
	// Caller is the service of the instance at which the request entered.
	Caller string
}

// Record is what is known about the crashes under one request. Records of several nodes merge to
// the same result in any order.
type Record struct {
	Fingerprint uint64
	Description Description
	// Epoch counts the times at which the evidence was dropped: the request ended well, or an
	// operator lifted its quarantine.
	Epoch uint32
	// Crashes are the IDs of the crashes while the request ran, in ascending order.
	Crashes []uint64
	// Again is set if the request was started when an earlier crash under it was known, and the
	// target crashed again; Alone if no other request at that target had been so.
	Again, Alone bool
	// ExpiresAt is when the record is dropped.
	ExpiresAt time.Time
}

// Refused reports whether the request is in quarantine.
func (r Record) Refused() bool {
	return r.Alone && len(r.Crashes) >= crashesIfAlone || r.Again && len(r.Crashes) >= crashesIfAgain
}

// clear drops the evidence.
func (r Record) clear() Record {
	return Record{Fingerprint: r.Fingerprint, Description: r.Description, Epoch: r.Epoch + 1, ExpiresAt: r.ExpiresAt}
}

// withCrash adds the evidence of one crash.
func (r Record) withCrash(id uint64, again, alone bool, expiresAt time.Time) Record {
	r.Crashes = union(r.Crashes, []uint64{id})
	r.Again = r.Again || again
	r.Alone = r.Alone || alone
	r.ExpiresAt = later(r.ExpiresAt, expiresAt)
	return r
}

// merge returns what both records know. The later epoch wins.
func merge(a, b Record) Record {
	if a.Epoch != b.Epoch {
		newer, older := a, b
		if b.Epoch > a.Epoch {
			newer, older = b, a
		}
		newer.Description = cmp.Or(newer.Description, older.Description)
		return newer
	}
	a.Crashes = union(a.Crashes, b.Crashes)
	a.Again = a.Again || b.Again
	a.Alone = a.Alone || b.Alone
	a.Description = cmp.Or(a.Description, b.Description)
	a.ExpiresAt = later(a.ExpiresAt, b.ExpiresAt)
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// union returns the IDs of both, ascending, at most maxCrashes: the lowest, so that the result does
// not depend on the order of merges.
func union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashes)]
}

// equal reports whether both records hold the same evidence.
func (r Record) equal(other Record) bool {
	return r.Epoch == other.Epoch && r.Again == other.Again && r.Alone == other.Alone && slices.Equal(r.Crashes, other.Crashes)
}

// digest hashes the evidence of the record.
func (r Record) digest() uint64 {
	data := binary.BigEndian.AppendUint64(nil, r.Fingerprint)
	data = binary.BigEndian.AppendUint32(data, r.Epoch)
	data = append(data, flag(r.Again), flag(r.Alone))
	for _, id := range r.Crashes {
		data = binary.BigEndian.AppendUint64(data, id)
	}
	return xxhash.Sum64(data)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}
