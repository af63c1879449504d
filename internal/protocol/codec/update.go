// Package codec converts configuration updates between their Go types and the
// messages of package wire, and compresses the messages.
package codec

import (
	"math"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
)

// MaxUpdateBytes bounds an update before compression. A full update with all
// retained verdicts stays below it: state.MaxStateBytes and state.MaxResources bound
// the state and the names in it.
const MaxUpdateBytes = 2 * state.MaxStateBytes

// Errors of encoded configuration.
var (
	Errors = errorx.NewNamespace("codec")

	// ErrDamaged means that the data is not a valid update or checkpoint.
	ErrDamaged = errorx.NewType(Errors, "damaged")
	// ErrTooLarge means that an update is over MaxUpdateBytes.
	ErrTooLarge = errorx.NewType(Errors, "too_large")
)

// Encode encodes and compresses an update. It fails with ErrTooLarge.
func Encode(update acceptance.Update) (*wire.CompressedUpdate, error) {
	data, err := encode(update)
	if err != nil {
		return nil, err
	}
	return &wire.CompressedUpdate{Data: data}, nil
}

// Decode decompresses and decodes an update. It fails with ErrDamaged, also if
// the update is over MaxUpdateBytes.
func Decode(message *wire.CompressedUpdate) (acceptance.Update, error) {
	return decode(message.GetData())
}

func encode(update acceptance.Update) ([]byte, error) {
	data, err := proto.Marshal(updateToProto(update))
	if err != nil {
		return nil, ErrDamaged.New("update to %s: %v: restart the node", update.To, err)
	}
	if len(data) > MaxUpdateBytes {
		return nil, ErrTooLarge.New("update to %s has %d bytes, over the bound of %d: remove resources", update.To, len(data), MaxUpdateBytes)
	}
	return compress(data)
}

func decode(compressed []byte) (acceptance.Update, error) {
	data, err := decompress(compressed)
	if err != nil {
		return acceptance.Update{}, ErrDamaged.New("update of %d bytes: %v: pull it from another node", len(compressed), err)
	}
	var message wire.Update
	if err := proto.Unmarshal(data, &message); err != nil {
		return acceptance.Update{}, ErrDamaged.New("update of %d bytes: %v: pull it from another node", len(data), err)
	}
	return updateFromProto(&message), nil
}

func updateToProto(update acceptance.Update) *wire.Update {
	message := &wire.Update{
		To:            VersionToProto(update.To),
		NextOffset:    uint64(state.OffsetOf(update.NextOffset)),
		Era:           uint32(state.EraOf(update.NextOffset)),
		HighestNumber: update.HighestNumber,
	}
	if !update.Full() {
		message.From = VersionToProto(update.From)
	}
	for _, resource := range update.Resources {
		message.Resources = append(message.Resources, resourceToProto(resource))
	}
	for _, verdict := range update.Verdicts {
		message.Verdicts = append(message.Verdicts, verdictToProto(verdict))
	}
	return message
}

func updateFromProto(message *wire.Update) acceptance.Update {
	update := acceptance.Update{
		From:          VersionFromProto(message.GetFrom()),
		To:            VersionFromProto(message.GetTo()),
		NextOffset:    int64(PositionFromProto(message.GetEra(), message.GetNextOffset())),
		HighestNumber: message.GetHighestNumber(),
	}
	for _, resource := range message.GetResources() {
		update.Resources = append(update.Resources, resourceFromProto(resource))
	}
	for _, verdict := range message.GetVerdicts() {
		update.Verdicts = append(update.Verdicts, verdictFromProto(verdict))
	}
	return update
}

// VersionToProto returns the message for the version.
func VersionToProto(version state.Version) *wire.Version {
	return &wire.Version{
		Position: state.OffsetOf(version.Position), Era: uint32(version.Era()),
		Number: version.Number, Digest: version.Digest,
	}
}

// VersionFromProto returns the version of the message; nil yields the zero version.
func VersionFromProto(message *wire.Version) state.Version {
	return state.Version{
		Position: PositionFromProto(message.GetEra(), message.GetPosition()),
		Number:   message.GetNumber(), Digest: message.GetDigest(),
	}
}

// PositionFromProto returns the log position of a message. An offset or era out of range
// yields a position that makes an update malformed.
func PositionFromProto(era uint32, offset uint64) uint64 {
	if offset > state.MaxOffset || era > state.MaxEra {
		return math.MaxUint64
	}
	return uint64(state.LogPosition(uint64(era), int64(offset)))
}

func resourceToProto(resource state.Resource) *wire.Resource {
	return &wire.Resource{Kind: uint32(resource.Kind), Name: resource.Name, Data: resource.Data, Removed: resource.Removed}
}

// resourceFromProto maps an unknown kind to 0, which every snapshot rejects.
func resourceFromProto(message *wire.Resource) state.Resource {
	kind := state.Kind(0)
	if message.GetKind() <= uint32(state.KindTenant) {
		kind = state.Kind(message.GetKind())
	}
	return state.Resource{
		Key:     state.Key{Kind: kind, Name: message.GetName()},
		Data:    message.GetData(),
		Removed: message.GetRemoved(),
	}
}

func verdictToProto(verdict acceptance.Verdict) *wire.Verdict {
	return &wire.Verdict{
		Number:   verdict.Number,
		Content:  verdict.ContentHash,
		Position: state.OffsetOf(verdict.Position),
		Era:      uint32(state.EraOf(verdict.Position)),
		Outcome:  uint32(verdict.Outcome),
		Reason:   verdict.Reason,
	}
}

func verdictFromProto(message *wire.Verdict) acceptance.Verdict {
	return acceptance.Verdict{
		Number:      message.GetNumber(),
		ContentHash: message.GetContent(),
		Position:    PositionFromProto(message.GetEra(), message.GetPosition()),
		Outcome:     acceptance.Outcome(message.GetOutcome()),
		Reason:      message.GetReason(),
	}
}
