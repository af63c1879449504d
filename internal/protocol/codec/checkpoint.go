package codec

import (
	"jasminegate/internal/coordination/acceptance"
)

// checkpointFormat is the first byte of each record of the checkpoints stream and
// identifies its format. This node reads no other format.
const checkpointFormat byte = 1

// EncodeCheckpoint returns a full update as a record of the checkpoints stream. It
// fails with ErrTooLarge.
func EncodeCheckpoint(full acceptance.Update) ([]byte, error) {
	data, err := encode(full)
	if err != nil {
		return nil, err
	}
	return append([]byte{checkpointFormat}, data...), nil
}

// DecodeCheckpoint decodes a record of the checkpoints stream and checks that the
// state is valid and has the recorded digest. It fails with ErrDamaged or an
// error of acceptance.Fold.ApplyUpdate.
func DecodeCheckpoint(record []byte) (acceptance.Update, error) {
	if len(record) == 0 || record[0] != checkpointFormat {
		return acceptance.Update{}, ErrDamaged.New("checkpoint of %d bytes has an unknown format: upgrade this node or read an older checkpoint", len(record))
	}
	update, err := decode(record[1:])
	if err != nil {
		return acceptance.Update{}, err
	}
	if !update.Full() {
		return acceptance.Update{}, ErrDamaged.New("checkpoint at %s contains only part of the state: read an older checkpoint", update.To)
	}
	if err := acceptance.New().ApplyUpdate(update); err != nil {
		return acceptance.Update{}, err
	}
	return update, nil
}
