package codec

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// windowBytes is the zstd window size. It bounds the memory that the encoder and
// the decoder use.
const windowBytes = 256 << 10

// EncodeAll and DecodeAll are safe for concurrent use. The encoder and the decoder
// are created once, so that their buffers are reused.
var (
	encoder = sync.OnceValues(newEncoder)
	decoder = sync.OnceValues(newDecoder)
)

func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(true),
	)
}

func newDecoder() (*zstd.Decoder, error) {
	return zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxUpdateBytes),
	)
}

func compress(data []byte) ([]byte, error) {
	encoder, err := encoder()
	if err != nil {
		return nil, err
	}
	return encoder.EncodeAll(data, nil), nil
}

// decompress fails if the decompressed data is over MaxUpdateBytes.
func decompress(data []byte) ([]byte, error) {
	decoder, err := decoder()
	if err != nil {
		return nil, err
	}
	return decoder.DecodeAll(data, nil)
}
