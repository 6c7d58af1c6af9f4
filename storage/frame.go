package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// A segment is a sequence of frames. A frame contains all records of one write:
//
//	magic    4 bytes
//	length   4 bytes, of the payload
//	checksum 4 bytes, CRC-32C of length and payload
//	reserved 4 bytes, zero
//	payload  records, padded with zeros to a multiple of 8
//
// A frame is synced before the next one is written. An unreadable frame that is followed by a
// readable one was therefore durable and is corrupt. Any other unreadable frame was left
// incomplete by a crash.
const (
	frameHeaderSize = 16
	frameAlignment  = 8
	// maxPayloadSize limits the length field, so that a corrupt length is rejected.
	maxPayloadSize = 1 << 30
)

var (
	frameMagic = [4]byte{'B', 'D', 'W', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type recordType byte

const (
	recordPadding   recordType = 0
	recordEntry     recordType = 1
	recordHardState recordType = 2
	recordReset     recordType = 3 // discards the entries; the log continues after an installed snapshot
)

// appendRecord appends one record: type, length and content.
func appendRecord(payload []byte, t recordType, content []byte) []byte {
	payload = append(payload, byte(t))
	payload = binary.AppendUvarint(payload, uint64(len(content)))
	return append(payload, content...)
}

func appendHardState(payload []byte, hs raft.HardState) []byte {
	content := binary.AppendUvarint(nil, hs.Term)
	content = binary.AppendUvarint(content, hs.VoteID)
	content = binary.AppendUvarint(content, hs.Commit)
	content = append(content, hs.VoteDiskID...)
	return appendRecord(payload, recordHardState, content)
}

func appendReset(payload []byte, index uint64) []byte {
	return appendRecord(payload, recordReset, binary.AppendUvarint(nil, index))
}

func appendEntry(payload []byte, e *api.Entry) ([]byte, error) {
	content, err := proto.Marshal(e)
	if err != nil {
		return nil, err
	}
	return appendRecord(payload, recordEntry, content), nil
}

// sealFrame pads a frame and fills in its header. The payload starts after frameHeaderSize
// reserved bytes.
func sealFrame(frame []byte) []byte {
	for len(frame)%frameAlignment != 0 {
		frame = append(frame, byte(recordPadding))
	}
	copy(frame, frameMagic[:])
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(frame)-frameHeaderSize))
	binary.LittleEndian.PutUint32(frame[8:], frameChecksum(frame))
	return frame
}

func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[4:8])
	return crc32.Update(sum, castagnoli, frame[frameHeaderSize:])
}

// readFrame returns the payload of the frame at the start of data and the size of the whole
// frame. ok is false if the frame is not readable.
func readFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < frameHeaderSize || [4]byte(data[:4]) != frameMagic || [4]byte(data[12:]) != [4]byte{} {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	size = frameHeaderSize + int(length)
	if length > maxPayloadSize || size > len(data) || length%frameAlignment != 0 {
		return nil, 0, false
	}
	if frameChecksum(data[:size]) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return data[frameHeaderSize:size], size, true
}

// hasFrameAfter reports whether a readable frame follows after offset.
func hasFrameAfter(data []byte, offset int) bool {
	for at := offset + frameAlignment; at+frameHeaderSize <= len(data); at += frameAlignment {
		if _, _, ok := readFrame(data[at:]); ok {
			return true
		}
	}
	return false
}

// logContents is the result of the replay of a log.
type logContents struct {
	snapshotIndex uint64 // of the stored snapshot; 0 if there is none
	hardState     raft.HardState
	entries       []*api.Entry // with contiguous indexes
}

// replayFrame applies the records of the payload of a frame.
func (c *logContents) replayFrame(payload []byte) error {
	for len(payload) > 0 {
		t := recordType(payload[0])
		if t == recordPadding {
			return nil
		}
		length, n := binary.Uvarint(payload[1:])
		if n <= 0 || uint64(len(payload)-1-n) < length {
			return fmt.Errorf("record of type %d has an invalid length", t)
		}
		content := payload[1+n : 1+n+int(length)]
		payload = payload[1+n+int(length):]
		if err := c.applyRecord(t, content); err != nil {
			return err
		}
	}
	return nil
}

func (c *logContents) applyRecord(t recordType, content []byte) error {
	switch t {
	case recordEntry:
		e := &api.Entry{}
		if err := proto.Unmarshal(content, e); err != nil {
			return err
		}
		return c.addEntry(e)
	case recordHardState:
		return c.setHardState(content)
	case recordReset:
		c.entries = nil
		return nil
	}
	return fmt.Errorf("unknown record type %d", t)
}

// addEntry appends an entry and drops the stored entries from its index on. The entries before a gap are
// dropped as well if the snapshot covers the missing ones.
func (c *logContents) addEntry(e *api.Entry) error {
	if len(c.entries) > 0 {
		first := c.entries[0].Index
		next := first + uint64(len(c.entries))
		switch {
		case e.Index <= next:
			c.entries = c.entries[:max(e.Index, first)-first]
		case e.Index <= c.snapshotIndex+1:
			c.entries = nil
		default:
			return fmt.Errorf("gap in the log: entry %d follows entry %d", e.Index, next-1)
		}
	}
	c.entries = append(c.entries, e)
	return nil
}

func (c *logContents) setHardState(content []byte) error {
	var fields [3]uint64
	for i := range fields {
		v, n := binary.Uvarint(content)
		if n <= 0 {
			return fmt.Errorf("hard state has an invalid length")
		}
		fields[i], content = v, content[n:]
	}
	c.hardState = raft.HardState{Term: fields[0], VoteID: fields[1], Commit: fields[2], VoteDiskID: string(content)}
	return nil
}
