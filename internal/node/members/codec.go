package members

import (
	"math"
	"net"
	"strconv"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/codec"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
)

// versionToWire converts a version. The zero version is left out of the message.
func versionToWire(v state.Version) *wire.Version {
	if v == (state.Version{}) {
		return nil
	}
	return codec.VersionToProto(v)
}

func versionFromWire(v *wire.Version) state.Version { return codec.VersionFromProto(v) }

func memberToWire(m membership.Member) *wire.Member {
	return &wire.Member{
		Id:             m.ID,
		Incarnation:    m.Incarnation,
		Domain:         m.Domain,
		ControlAddress: m.ControlAddress,
		CallsAddress:   m.CallsAddress,
		State:          uint32(m.State),
		Service:        m.Service,
		Slots:          m.Slots,
		TargetState:    uint32(m.Target),
		Revision:       m.Revision,
		BandwidthKbps:  m.BandwidthKbps,
		LogUnreachable: m.LogUnreachable,
		TargetVersion:  m.TargetVersion,
	}
}

func membersToWire(members []membership.Member) []*wire.Member {
	if len(members) == 0 {
		return nil
	}
	converted := make([]*wire.Member, 0, len(members))
	for _, member := range members {
		converted = append(converted, memberToWire(member))
	}
	return converted
}

const (
	// maxIncarnation bounds the incarnations and revisions of records. Incarnations are times in
	// nanoseconds; a greater one would leave none for this node's next start.
	maxIncarnation = 1 << 62
	// maxPort is the greatest port of TCP.
	maxPort = 1<<16 - 1
)

// membersFromWire skips invalid records, which no node could have written.
func membersFromWire(members []*wire.Member) []membership.Member {
	var converted []membership.Member
	for _, member := range members {
		if !validMember(member) {
			continue
		}
		converted = append(converted, membership.Member{
			ID:             member.GetId(),
			Incarnation:    member.GetIncarnation(),
			Domain:         member.GetDomain(),
			ControlAddress: member.GetControlAddress(),
			CallsAddress:   member.GetCallsAddress(),
			State:          membership.State(member.GetState()),
			Service:        member.GetService(),
			Slots:          member.GetSlots(),
			Target:         membership.TargetState(member.GetTargetState()),
			Revision:       member.GetRevision(),
			BandwidthKbps:  member.GetBandwidthKbps(),
			LogUnreachable: member.GetLogUnreachable(),
			TargetVersion:  member.GetTargetVersion(),
		})
	}
	return converted
}

func validMember(m *wire.Member) bool {
	if m.GetId() == "" || m.GetDomain() == "" || !validAddress(m.GetControlAddress()) {
		return false
	}
	if m.GetCallsAddress() != "" && !validAddress(m.GetCallsAddress()) {
		return false
	}
	if m.GetIncarnation() > maxIncarnation || m.GetRevision() > maxIncarnation || m.GetSlots() > state.MaxSlots {
		return false
	}
	memberState := m.GetState()
	if memberState < uint32(membership.Alive) || memberState > uint32(membership.Left) {
		return false
	}
	return m.GetTargetState() <= uint32(membership.TargetDraining)
}

// validAddress reports whether the address is a host and a port that can be dialled.
func validAddress(address string) bool {
	host, text, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	port, err := strconv.Atoi(text)
	return err == nil && port > 0 && port <= maxPort
}

func summariesToWire(summaries []membership.Summary) []*wire.Summary {
	var converted []*wire.Summary
	for _, s := range summaries {
		converted = append(converted, &wire.Summary{
			Domain:        s.Domain,
			Reporter:      s.Reporter,
			Sequence:      s.Sequence,
			Members:       s.Members,
			LeastPosition: state.OffsetOf(s.LeastPosition),
			Era:           uint32(state.EraOf(s.LeastPosition)),
			Laggards:      s.Laggards,
			LeftOut:       s.LeftOut,
			AgeMs:         ageToWire(s.Age),
		})
	}
	return converted
}

// ageToWire converts an age to milliseconds. It rounds up, so that a summary never
// appears fresher than it is.
func ageToWire(age time.Duration) uint32 {
	ms := (age + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(ms, 0), math.MaxUint32))
}

// summariesFromWire skips summaries without a reporter: with them the sender marks
// the domains for which it has no summary.
func summariesFromWire(summaries []*wire.Summary) []membership.Summary {
	var converted []membership.Summary
	for _, s := range summaries {
		if s.GetDomain() == "" || s.GetReporter() == "" {
			continue
		}
		converted = append(converted, membership.Summary{
			Domain:        s.GetDomain(),
			Reporter:      s.GetReporter(),
			Sequence:      s.GetSequence(),
			Members:       s.GetMembers(),
			LeastPosition: codec.PositionFromProto(s.GetEra(), s.GetLeastPosition()),
			Laggards:      s.GetLaggards(),
			LeftOut:       s.GetLeftOut(),
			Age:           time.Duration(s.GetAgeMs()) * time.Millisecond,
		})
	}
	return converted
}

// ProbeToWire encodes a probe.
func ProbeToWire(p membership.Probe) *wire.Probe {
	return &wire.Probe{
		From:            p.From,
		FromIncarnation: p.FromIncarnation,
		To:              p.To,
		Via:             p.Via,
		Version:         versionToWire(p.Version),
		Load:            p.Load,
		TableDigest:     p.TableDigest,
		Members:         membersToWire(p.Members),
		Buckets:         p.BucketDigests,
		FullTable:       p.FullTable,
		WantSummaries:   p.WantSummaries,
	}
}

// ProbeFromWire decodes a probe.
func ProbeFromWire(p *wire.Probe) membership.Probe {
	return membership.Probe{
		From:            p.GetFrom(),
		FromIncarnation: p.GetFromIncarnation(),
		To:              p.GetTo(),
		Via:             p.GetVia(),
		Version:         versionFromWire(p.GetVersion()),
		Load:            p.GetLoad(),
		TableDigest:     p.GetTableDigest(),
		Members:         membersFromWire(p.GetMembers()),
		BucketDigests:   p.GetBuckets(),
		FullTable:       p.GetFullTable(),
		WantSummaries:   p.GetWantSummaries(),
	}
}

// AckToWire encodes the ack of a probe. The sender's ID is omitted if it is the ID
// of the probed node.
func AckToWire(a membership.Ack, probedID string) *wire.ProbeAck {
	from := a.From
	if from == probedID {
		from = ""
	}
	return &wire.ProbeAck{
		From:            from,
		FromIncarnation: a.FromIncarnation,
		Version:         versionToWire(a.Version),
		Load:            a.Load,
		TableDigest:     a.TableDigest,
		Reached:         a.Reached,
		Known:           a.Known,
		CurrentAgeMs:    ageToWire(a.CurrentAge),
		Members:         membersToWire(a.Members),
		Differing:       a.DifferingBuckets,
		Summaries:       summariesToWire(a.Summaries),
	}
}

// AckFromWire decodes the ack of a probe. Without a sender's ID the ack is from
// the probed node.
func AckFromWire(a *wire.ProbeAck, probedID string) membership.Ack {
	from := a.GetFrom()
	if from == "" {
		from = probedID
	}
	return membership.Ack{
		From:             from,
		FromIncarnation:  a.GetFromIncarnation(),
		Version:          versionFromWire(a.GetVersion()),
		Load:             a.GetLoad(),
		TableDigest:      a.GetTableDigest(),
		Reached:          a.GetReached(),
		Known:            a.GetKnown(),
		CurrentAge:       time.Duration(a.GetCurrentAgeMs()) * time.Millisecond,
		Members:          membersFromWire(a.GetMembers()),
		DifferingBuckets: a.GetDiffering(),
		Summaries:        summariesFromWire(a.GetSummaries()),
	}
}
