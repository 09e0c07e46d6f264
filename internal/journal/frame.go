package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A frame consists of a magic number, the payload length, a sequence number and
// a checksum, all little endian, and the payload. The checksum covers length,
// sequence number and payload.
const (
	frameMagic      = "PRJ1"
	lengthOffset    = 4
	sequenceOffset  = 8
	checksumOffset  = 16
	headerBytes     = 20
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends one message to buf as a frame. One sync makes one frame
// durable. The checksum makes the frame atomic, in whichever order the disk wrote
// its parts.
func appendFrame(buf []byte, sequence uint64, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, frameMagic...)
	buf = append(buf, make([]byte, headerBytes-len(frameMagic))...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, err
	}
	header := buf[start : start+headerBytes]
	payload := buf[start+headerBytes:]
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[sequenceOffset:], sequence)
	binary.LittleEndian.PutUint32(header[checksumOffset:], checksum(header, payload))
	return buf, nil
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[lengthOffset:checksumOffset], castagnoli), castagnoli, payload)
}

// readFrame returns the payload and the sequence number of the frame at the start
// of buf, and false if the frame is truncated or corrupt.
func readFrame(buf []byte) (payload []byte, sequence uint64, ok bool) {
	if len(buf) < headerBytes || string(buf[:lengthOffset]) != frameMagic {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(buf[lengthOffset:]))
	if size > maxPayloadBytes || size > len(buf)-headerBytes {
		return nil, 0, false
	}
	payload = buf[headerBytes : headerBytes+size]
	if checksum(buf, payload) != binary.LittleEndian.Uint32(buf[checksumOffset:]) {
		return nil, 0, false
	}
	return payload, binary.LittleEndian.Uint64(buf[sequenceOffset:]), true
}

// findFrame reports whether a valid frame with a sequence number greater than
// above starts anywhere in buf.
func findFrame(buf []byte, above uint64) bool {
	for {
		i := bytes.Index(buf, []byte(frameMagic))
		if i < 0 {
			return false
		}
		buf = buf[i:]
		if _, sequence, ok := readFrame(buf); ok && sequence > above {
			return true
		}
		buf = buf[1:]
	}
}
