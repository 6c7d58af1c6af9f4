package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// A snapshot file contains the length of the metadata (4 bytes), the CRC-32C of all that follows
// (4 bytes), the metadata, and the data of the state machine.
const snapshotHeaderSize = 8

func snapshotName(index uint64) string { return fmt.Sprintf("snapshot-%016x", index) }

func encodeSnapshot(s *raft.Snapshot) ([]byte, error) {
	meta, err := proto.Marshal(s.Meta)
	if err != nil {
		return nil, err
	}
	content := make([]byte, snapshotHeaderSize, snapshotHeaderSize+len(meta)+len(s.Data))
	content = append(content, meta...)
	content = append(content, s.Data...)
	binary.LittleEndian.PutUint32(content, uint32(len(meta)))
	binary.LittleEndian.PutUint32(content[4:], crc32.Checksum(content[snapshotHeaderSize:], castagnoli))
	return content, nil
}

func decodeSnapshot(path string, content []byte) (*raft.Snapshot, error) {
	if len(content) < snapshotHeaderSize {
		return nil, &CorruptError{Path: path, Reason: "the file is shorter than the snapshot header"}
	}
	body := content[snapshotHeaderSize:]
	length := binary.LittleEndian.Uint32(content)
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(content[4:]) || int(length) > len(body) {
		return nil, &CorruptError{Path: path, Reason: "checksum mismatch"}
	}
	meta := &api.SnapshotMeta{}
	if err := proto.Unmarshal(body[:length], meta); err != nil {
		return nil, &CorruptError{Path: path, Offset: snapshotHeaderSize, Reason: err.Error()}
	}
	return &raft.Snapshot{Meta: meta, Data: body[length:]}, nil
}

// loadSnapshot reads the newest snapshot, and returns nil if there is none. A corrupt snapshot
// is an error: an older one is no replacement, since the log entries after it may have been
// removed.
func loadSnapshot(fs FS, dir string, names []string) (*raft.Snapshot, error) {
	newest := ""
	for _, n := range names {
		if strings.HasPrefix(n, "snapshot-") && !strings.HasSuffix(n, temporarySuffix) {
			newest = n
		}
	}
	if newest == "" {
		return nil, nil
	}
	path := filepath.Join(dir, newest)
	content, err := fs.ReadFile(path)
	if err != nil {
		return nil, &CorruptError{Path: path, Reason: err.Error()}
	}
	return decodeSnapshot(path, content)
}
