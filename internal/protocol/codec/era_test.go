package codec

import (
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

// TestUpdateLosesEra guards against positions of different eras of a log that look the same
// after they were sent. Nodes of earlier releases read the plain offsets.
func TestUpdateLosesEra(t *testing.T) {
	is := is.New(t)
	fold := acceptance.New()
	fold.SkipTo(state.LogPosition(3, 5))
	data, err := ticket(6, 1).Encode()
	is.NoErr(err)
	_, _, err = fold.Apply(state.LogPosition(3, 5), data)
	is.NoErr(err)
	fold.SkipTo(state.LogPosition(4, 2))
	update := fold.FullUpdate()
	message := updateToProto(update)
	is.Equal(message.GetTo().GetPosition(), uint64(6))
	is.Equal(message.GetNextOffset(), uint64(2))
	is.Equal(message.GetVerdicts()[0].GetPosition(), uint64(6))
	is.Equal(updateFromProto(message), update)
}

// TestEraOutOfRangeIsAccepted guards against positions that overflow.
func TestEraOutOfRangeIsAccepted(t *testing.T) {
	is := is.New(t)
	message := updateToProto(foldWith(t, 1).FullUpdate())
	message.Era = state.MaxEra + 1
	is.True(acceptance.New().ApplyUpdate(updateFromProto(message)) != nil)
	message.Era, message.To.Position = 0, state.MaxOffset+1
	is.True(acceptance.New().ApplyUpdate(updateFromProto(message)) != nil)
}
