package codec

import (
	"jasminegate/internal/coordination/acceptance"
)

// checkpointFormat opens each record of the checkpoints stream. Another value
// is a format that this node does not know.
const checkpointFormat byte = 1

// EncodeCheckpoint returns the whole state as a record of the checkpoints
// stream. It fails with ErrTooLarge.
func EncodeCheckpoint(whole acceptance.Update) ([]byte, error) {
	data, err := encode(whole)
	if err != nil {
		return nil, err
	}
	return append([]byte{checkpointFormat}, data...), nil
}

// DecodeCheckpoint reads a record of the checkpoints stream and checks that its
// content has the digest that it announces. It fails with ErrDamaged,
// acceptance.ErrMalformed or state.ErrDigest.
func DecodeCheckpoint(record []byte) (acceptance.Update, error) {
	if len(record) == 0 || record[0] != checkpointFormat {
		return acceptance.Update{}, ErrDamaged.New("checkpoint of %d bytes has no known format: upgrade this node or read an older checkpoint", len(record))
	}
	update, err := decode(record[1:])
	if err != nil {
		return acceptance.Update{}, err
	}
	if !update.Full() {
		return acceptance.Update{}, ErrDamaged.New("checkpoint at %s holds only a part of the state: read an older checkpoint", update.To)
	}
	if err := acceptance.New().ApplyUpdate(update); err != nil {
		return acceptance.Update{}, err
	}
	return update, nil
}
