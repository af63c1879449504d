// Package codec converts configuration between its types and the messages of
// package wire, and between messages and compressed bytes.
package codec

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
)

// MaxUpdateBytes bounds an update after decompression. A whole state with its
// kept verdicts stays below it by state.MaxStateBytes.
const MaxUpdateBytes = 4 << 20

// Errors of encoded configuration.
var (
	Errors = errorx.NewNamespace("codec")

	// ErrDamaged says that bytes are not an update or a checkpoint.
	ErrDamaged = errorx.NewType(Errors, "damaged")
	// ErrTooLarge says that an update is over MaxUpdateBytes.
	ErrTooLarge = errorx.NewType(Errors, "too_large")
)

// Encode compresses an update. It fails with ErrTooLarge.
func Encode(update acceptance.Update) (*wire.CompressedUpdate, error) {
	data, err := encode(update)
	if err != nil {
		return nil, err
	}
	return &wire.CompressedUpdate{Data: data}, nil
}

// Decode reads a compressed update. It fails with ErrDamaged, also when the
// update is over MaxUpdateBytes.
func Decode(message *wire.CompressedUpdate) (acceptance.Update, error) {
	return decode(message.GetData())
}

func encode(update acceptance.Update) ([]byte, error) {
	data, err := proto.Marshal(updateMessage(update))
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
	return updateOf(&message), nil
}

func updateMessage(update acceptance.Update) *wire.Update {
	message := &wire.Update{
		To:            VersionToProto(update.To),
		NextOffset:    uint64(update.NextOffset),
		HighestNumber: update.HighestNumber,
	}
	if !update.Full() {
		message.From = VersionToProto(update.From)
	}
	for _, resource := range update.Resources {
		message.Resources = append(message.Resources, resourceMessage(resource))
	}
	for _, verdict := range update.Verdicts {
		message.Verdicts = append(message.Verdicts, verdictMessage(verdict))
	}
	return message
}

func updateOf(message *wire.Update) acceptance.Update {
	update := acceptance.Update{
		From:          VersionFromProto(message.GetFrom()),
		To:            VersionFromProto(message.GetTo()),
		NextOffset:    int64(message.GetNextOffset()),
		HighestNumber: message.GetHighestNumber(),
	}
	for _, resource := range message.GetResources() {
		update.Resources = append(update.Resources, resourceOf(resource))
	}
	for _, verdict := range message.GetVerdicts() {
		update.Verdicts = append(update.Verdicts, verdictOf(verdict))
	}
	return update
}

// VersionToProto returns the version as a message.
func VersionToProto(version state.Version) *wire.Version {
	return &wire.Version{Position: version.Position, Digest: version.Digest}
}

// VersionFromProto returns the message's version; nil is the zero version.
func VersionFromProto(message *wire.Version) state.Version {
	return state.Version{Position: message.GetPosition(), Digest: message.GetDigest()}
}

func resourceMessage(resource state.Resource) *wire.Resource {
	return &wire.Resource{Kind: uint32(resource.Kind), Name: resource.Name, Data: resource.Data, Removed: resource.Removed}
}

// resourceOf maps an unknown kind to 0, which no snapshot takes.
func resourceOf(message *wire.Resource) state.Resource {
	kind := state.Kind(0)
	if message.GetKind() <= uint32(state.KindCallerLimits) {
		kind = state.Kind(message.GetKind())
	}
	return state.Resource{
		Key:     state.Key{Kind: kind, Name: message.GetName()},
		Data:    message.GetData(),
		Removed: message.GetRemoved(),
	}
}

func verdictMessage(verdict acceptance.Verdict) *wire.Verdict {
	return &wire.Verdict{
		Number:   verdict.Number,
		Content:  verdict.ContentHash,
		Position: verdict.Position,
		Outcome:  uint32(verdict.Outcome),
		Reason:   verdict.Reason,
	}
}

func verdictOf(message *wire.Verdict) acceptance.Verdict {
	return acceptance.Verdict{
		Number:      message.GetNumber(),
		ContentHash: message.GetContent(),
		Position:    message.GetPosition(),
		Outcome:     acceptance.Outcome(message.GetOutcome()),
		Reason:      message.GetReason(),
	}
}
