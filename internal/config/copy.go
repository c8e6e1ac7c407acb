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

// Copy is a configuration with the chunks that it was read from.
type Copy struct {
	head   Head
	values map[string][]byte
	config release.Config
}

// newCopy reads a configuration from the chunks that a head names.
func newCopy(h Head, values map[string][]byte) (Copy, error) {
	chunks := make([][]byte, len(h.Chunks))
	for i, hash := range h.Chunks {
		if hash == "" {
			continue
		}
		value, ok := values[hash]
		if !ok || hashOf(value) != hash {
			return Copy{}, &MissingChunkError{Revision: h.Revision, Hash: hash}
		}
		chunks[i] = value
	}
	c, err := release.FromChunks(h.Revision, chunks)
	if err != nil {
		return Copy{}, err
	}
	return Copy{head: h, values: values, config: c.WithIndex()}, nil
}

// copyOf splits a configuration into chunks.
func copyOf(c release.Config, note string) (Copy, error) {
	chunks, err := release.Chunks(c)
	if err != nil {
		return Copy{}, err
	}
	h := Head{Revision: c.Revision, Note: note, Chunks: make([]string, len(chunks))}
	values := map[string][]byte{}
	for i, text := range chunks {
		if len(text) > 0 {
			h.Chunks[i] = hashOf(text)
			values[h.Chunks[i]] = text
		}
	}
	return Copy{head: h, values: values, config: c.WithIndex()}, nil
}

// Head returns the copy's head.
func (c Copy) Head() Head { return c.head }

// Hashes returns the hashes of the chunks that the copy holds.
func (c Copy) Hashes() []string {
	var all []string
	for _, hash := range c.head.Chunks {
		if hash != "" {
			all = append(all, hash)
		}
	}
	return all
}

// Chunk returns the chunk of a hash, or nil.
func (c Copy) Chunk(hash string) []byte { return c.values[hash] }

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
