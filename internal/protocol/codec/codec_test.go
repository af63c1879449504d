package codec

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
)

// foldWith returns a fold with the given number of services, each with a route.
// Each service was added by one ticket.
func foldWith(t testing.TB, services int) *acceptance.Fold {
	t.Helper()
	fold := acceptance.New()
	for i := range services {
		data, err := ticket(i, i).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := fold.Apply(int64(i), data); err != nil {
			t.Fatal(err)
		}
	}
	return fold
}

func ticket(offset, service int) state.Ticket {
	name := fmt.Sprintf("service-%03d", service)
	return state.Ticket{
		Number: uint64(offset) + 1,
		Services: []state.Service{{
			Name: name, Slots: 6 + offset%7, Connections: 120, QueueLength: 12, QueueTimeout: state.Duration(time.Second),
		}},
		Routes: []state.Route{{
			Name: "route-" + name, PathPrefix: "/" + name, Service: name, Class: state.ClassInteractive,
			Timeout: state.Duration(2 * time.Second), Idempotent: service%2 == 0, MaxAttempts: 3,
		}},
	}
}

func TestDecodeCheckpoint(t *testing.T) {
	source := foldWith(t, 8)
	full, err := EncodeCheckpoint(source.FullUpdate())
	if err != nil {
		t.Fatal(err)
	}
	oversized, err := compress(bytes.Repeat([]byte{0}, MaxUpdateBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	withoutService := source.FullUpdate()
	withoutService.Resources = withoutService.Resources[1:]
	incomplete, err := EncodeCheckpoint(withoutService)
	if err != nil {
		t.Fatal(err)
	}
	incrementalUpdate := source.FullUpdate()
	incrementalUpdate.From = state.Version{Position: 1}
	incremental, err := EncodeCheckpoint(incrementalUpdate)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		record  []byte
		wantErr *errorx.Type
	}{
		"valid":                         {record: full},
		"empty":                         {record: nil, wantErr: ErrDamaged},
		"unknown format":                {record: append([]byte{9}, full[1:]...), wantErr: ErrDamaged},
		"truncated":                     {record: full[:len(full)/2], wantErr: ErrDamaged},
		"bit flipped":                   {record: withFlippedBit(full), wantErr: ErrDamaged},
		"not compressed":                {record: []byte("\x01HTTP/1.1 200 OK"), wantErr: ErrDamaged},
		"too large after decompression": {record: append([]byte{checkpointFormat}, oversized...), wantErr: ErrDamaged},
		"service missing":               {record: incomplete, wantErr: state.ErrDangling},
		"incremental update":            {record: incremental, wantErr: ErrDamaged},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			update, err := DecodeCheckpoint(tc.record)
			if tc.wantErr != nil {
				is.True(errorx.IsOfType(err, tc.wantErr)) // the error's type
				return
			}
			is.NoErr(err)
			is.Equal(update.To, source.Version())
			is.Equal(update.Verdicts, source.Verdicts())
		})
	}
}

func withFlippedBit(data []byte) []byte {
	changed := bytes.Clone(data)
	changed[len(changed)/2] ^= 1
	return changed
}

func TestUpdateRoundTrip(t *testing.T) {
	is := is.New(t)
	update := acceptance.Update{
		From:          state.Version{Position: 3, Digest: 1 << 63},
		To:            state.Version{Position: 9, Digest: 7},
		NextOffset:    12,
		HighestNumber: 8,
		Resources:     []state.Resource{{Key: state.Key{Kind: state.KindRoute, Name: "orders"}, Removed: true}},
		Verdicts:      []acceptance.Verdict{{Number: 8, ContentHash: 1 << 60, Position: 9, Outcome: acceptance.Dangling, Reason: "é"}},
	}
	message, err := Encode(update)
	is.NoErr(err)
	decoded, err := Decode(message)
	is.NoErr(err)
	is.Equal(decoded, update)
	_, err = Decode(&wire.CompressedUpdate{})
	is.NoErr(err) // no data decodes as an empty update, which every fold rejects
	malformed, err := compress([]byte{0xff, 0xff})
	is.NoErr(err)
	_, err = Decode(&wire.CompressedUpdate{Data: malformed})
	is.True(errorx.IsOfType(err, ErrDamaged))
}
