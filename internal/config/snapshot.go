package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// HeadKey is the store key of the head. Chunks are stored under ChunkPrefix and their hash.
const (
	HeadKey     = "/oriolepond/config/head"
	ChunkPrefix = "/oriolepond/config/chunk/"
)

// hashBytes is the number of SHA-256 bytes that are kept as the hash of a chunk.
const hashBytes = 16

// Head identifies a configuration: its revision and the hashes of its chunks.
type Head struct {
	Revision int64
	// Note is the name of the note that produced the revision.
	Note string
	// Chunks are the hashes of the chunks; an empty chunk has the hash "".
	Chunks []string
}

// Snapshot is an immutable configuration together with its encoded chunks, which peers may request.
type Snapshot struct {
	head Head
	// values are the encoded chunks by hash.
	values map[string][]byte
	// decoded are the decoded chunks by hash.
	decoded map[string]release.Config
	config  release.Config
}

// snapshotFromChunks returns the snapshot of a head, decoded from its chunks. It does not decode
// chunks again that the previous snapshot holds in decoded form.
func snapshotFromChunks(h Head, values map[string][]byte, previous Snapshot) (Snapshot, error) {
	s := Snapshot{head: h, values: values, decoded: make(map[string]release.Config, len(values))}
	var configs []release.Config
	for _, hash := range h.Chunks {
		if hash == "" {
			continue
		}
		chunkConfig, ok := previous.decoded[hash]
		if !ok {
			value, sent := values[hash]
			if !sent || chunkHash(value) != hash {
				return Snapshot{}, &MissingChunkError{Revision: h.Revision, Hash: hash}
			}
			var err error
			if chunkConfig, err = release.ParseChunk(value); err != nil {
				return Snapshot{}, fmt.Errorf("configuration %d: %w", h.Revision, err)
			}
		}
		s.decoded[hash] = chunkConfig
		configs = append(configs, chunkConfig)
	}
	s.config = release.Join(h.Revision, configs).WithIndex()
	return s, nil
}

// snapshotFromConfig returns the snapshot of a configuration that a note produced, with its encoded
// chunks. It does not decode chunks that the previous snapshot holds in decoded form.
func snapshotFromConfig(c release.Config, note string, previous Snapshot) (Snapshot, error) {
	chunks, err := release.Chunks(c)
	if err != nil {
		return Snapshot{}, err
	}
	h := Head{Revision: c.Revision, Note: note, Chunks: make([]string, len(chunks))}
	values := map[string][]byte{}
	for i, text := range chunks {
		if len(text) > 0 {
			h.Chunks[i] = chunkHash(text)
			values[h.Chunks[i]] = text
		}
	}
	return snapshotFromChunks(h, values, previous)
}

// Head returns the snapshot's head.
func (s Snapshot) Head() Head { return s.head }

// Hashes returns the hashes of all chunks that are not empty.
func (s Snapshot) Hashes() []string {
	var hashes []string
	for _, hash := range s.head.Chunks {
		if hash != "" {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// Chunk returns the encoded chunk with the given hash, or nil.
func (s Snapshot) Chunk(hash string) []byte { return s.values[hash] }

func chunkHash(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:hashBytes])
}

type wireHead struct {
	Revision int64    `json:"revision"`
	Note     string   `json:"note"`
	Chunks   []string `json:"chunks"`
}

func encodeHead(h Head) ([]byte, error) { return json.Marshal(wireHead(h)) }

func decodeHead(text []byte) (Head, error) {
	var w wireHead
	if err := json.Unmarshal(text, &w); err != nil {
		return Head{}, fmt.Errorf("decode configuration head: %w", err)
	}
	return Head(w), nil
}
