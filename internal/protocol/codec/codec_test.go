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

// folded returns a fold that accepted a ticket for each service with its route.
func folded(t testing.TB, services int) *acceptance.Fold {
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

func TestCheckpointIsWholeOrRefused(t *testing.T) {
	source := folded(t, 8)
	whole, err := EncodeCheckpoint(source.FullUpdate())
	if err != nil {
		t.Fatal(err)
	}
	bomb, err := compress(bytes.Repeat([]byte{0}, MaxUpdateBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	altered := source.FullUpdate()
	altered.Resources = altered.Resources[1:]
	incomplete, err := EncodeCheckpoint(altered)
	if err != nil {
		t.Fatal(err)
	}
	partial := source.FullUpdate()
	partial.From = state.Version{Position: 1}
	part, err := EncodeCheckpoint(partial)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		record []byte
		fails  *errorx.Type
	}{
		"whole":          {record: whole},
		"empty":          {record: nil, fails: ErrDamaged},
		"unknown format": {record: append([]byte{9}, whole[1:]...), fails: ErrDamaged},
		"cut off":        {record: whole[:len(whole)/2], fails: ErrDamaged},
		"bit flipped":    {record: flipped(whole), fails: ErrDamaged},
		"foreign bytes":  {record: []byte("\x01HTTP/1.1 200 OK"), fails: ErrDamaged},
		"grows too far":  {record: append([]byte{checkpointFormat}, bomb...), fails: ErrDamaged},
		"route missing":  {record: incomplete, fails: state.ErrDangling},
		"only a part":    {record: part, fails: ErrDamaged},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			update, err := DecodeCheckpoint(tc.record)
			if tc.fails != nil {
				is.True(errorx.IsOfType(err, tc.fails)) // the error's kind
				return
			}
			is.NoErr(err)
			is.Equal(update.To, source.Version())
			is.Equal(update.Verdicts, source.Verdicts())
		})
	}
}

func flipped(data []byte) []byte {
	changed := bytes.Clone(data)
	changed[len(changed)/2] ^= 1
	return changed
}

func TestUpdateSurvivesTheWire(t *testing.T) {
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
	is.NoErr(err) // no bytes are an empty update, which no fold adopts
	foreign, err := compress([]byte{0xff, 0xff})
	is.NoErr(err)
	_, err = Decode(&wire.CompressedUpdate{Data: foreign})
	is.True(errorx.IsOfType(err, ErrDamaged))
}
