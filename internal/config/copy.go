package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// The keys of the configuration in the store.
const (
	HeadKey     = "/oriolepond/config/head"
	ChunkPrefix = "/oriolepond/config/chunk/"
)

// hashBytes is the length of a chunk's hash.
const hashBytes = 16

// Head names the newest configuration.
type Head struct {
	Revision int64
	// Note is the one that led to the revision.
	Note string
	// Chunks are the hashes of the configuration's chunks; "" stands for an empty one.
	Chunks []string
}

// Snapshot is a configuration with the chunks that it was read from.
type Snapshot struct {
	head   Head
	values map[string][]byte
	// parts are what the chunks hold, by hash.
	parts  map[string]release.Config
	config release.Config
}

// newCopy reads a configuration from the chunks that a head names; those that
// an earlier copy holds are not read again.
func newCopy(h Head, values map[string][]byte, earlier Snapshot) (Snapshot, error) {
	c := Snapshot{head: h, values: values, parts: make(map[string]release.Config, len(values))}
	var parts []release.Config
	for _, hash := range h.Chunks {
		if hash == "" {
			continue
		}
		part, ok := earlier.parts[hash]
		if !ok {
			value, sent := values[hash]
			if !sent || hashOf(value) != hash {
				return Snapshot{}, &MissingChunkError{Revision: h.Revision, Hash: hash}
			}
			var err error
			if part, err = release.ParseChunk(value); err != nil {
				return Snapshot{}, fmt.Errorf("configuration %d: %w", h.Revision, err)
			}
		}
		c.parts[hash] = part
		parts = append(parts, part)
	}
	c.config = release.Join(h.Revision, parts).WithIndex()
	return c, nil
}

// copyOf splits a configuration into chunks.
func copyOf(c release.Config, note string, earlier Snapshot) (Snapshot, error) {
	chunks, err := release.Chunks(c)
	if err != nil {
		return Snapshot{}, err
	}
	h := Head{Revision: c.Revision, Note: note, Chunks: make([]string, len(chunks))}
	values := map[string][]byte{}
	for i, text := range chunks {
		if len(text) > 0 {
			h.Chunks[i] = hashOf(text)
			values[h.Chunks[i]] = text
		}
	}
	return newCopy(h, values, earlier)
}

// Head returns the copy's head.
func (c Snapshot) Head() Head { return c.head }

// Hashes returns the hashes of the chunks that the copy holds.
func (c Snapshot) Hashes() []string {
	var all []string
	for _, hash := range c.head.Chunks {
		if hash != "" {
			all = append(all, hash)
		}
	}
	return all
}

// Chunk returns the chunk of a hash, or nil.
func (c Snapshot) Chunk(hash string) []byte { return c.values[hash] }

func hashOf(chunk []byte) string {
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
