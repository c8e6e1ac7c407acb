package release

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// ChunkCount is the number of chunks that a configuration is split into.
const ChunkCount = 32

// Chunks returns the configuration, without its revision, as ChunkCount encoded chunks; an empty
// chunk is nil. The kind and name of a declaration determine its chunk, so that changing a few
// declarations changes only a few chunks.
func Chunks(c Config) ([][]byte, error) {
	configs := make([]Config, ChunkCount)
	appendToChunks(c.Neighbours, KindNeighbour, func(i int) *[]share.Neighbour { return &configs[i].Neighbours })
	appendToChunks(c.Shares, KindShare, func(i int) *[]share.Share { return &configs[i].Shares })
	appendToChunks(c.Services, KindService, func(i int) *[]Service { return &configs[i].Services })
	appendToChunks(c.Jobs, KindJob, func(i int) *[]Job { return &configs[i].Jobs })
	appendToChunks(c.YieldRules, KindYieldRule, func(i int) *[]share.YieldRule { return &configs[i].YieldRules })
	for _, o := range c.Origins {
		i := chunkOf(o.Kind, o.Name)
		configs[i].Origins = append(configs[i].Origins, o)
	}
	chunks := make([][]byte, ChunkCount)
	for i, p := range configs {
		if len(p.Origins) == 0 && len(p.Declarations.entries(ActionAdd)) == 0 {
			continue
		}
		text, err := EncodeConfig(p)
		if err != nil {
			return nil, err
		}
		chunks[i] = text
	}
	return chunks, nil
}

func chunkOf(kind Kind, name string) int {
	return int(xxhash.Sum64String(string(kind)+"/"+name) % ChunkCount)
}

// appendToChunks appends each declaration to the list of its chunk.
func appendToChunks[T any](all []T, kind Kind, listOf func(int) *[]T) {
	for _, d := range all {
		list := listOf(chunkOf(kind, nameOf(d)))
		*list = append(*list, d)
	}
}

// ParseChunk decodes a chunk to a Config that holds only the declarations and origins of that
// chunk.
func ParseChunk(text []byte) (Config, error) {
	return ParseConfig("chunk", text)
}

// Join returns the configuration of a revision from its decoded chunks.
func Join(revision int64, configs []Config) Config {
	c := Config{Revision: revision}
	for _, p := range configs {
		c.Neighbours = append(c.Neighbours, p.Neighbours...)
		c.Shares = append(c.Shares, p.Shares...)
		c.Services = append(c.Services, p.Services...)
		c.Jobs = append(c.Jobs, p.Jobs...)
		c.YieldRules = append(c.YieldRules, p.YieldRules...)
		c.Origins = append(c.Origins, p.Origins...)
	}
	sortDeclarations(c.Neighbours)
	sortDeclarations(c.Shares)
	sortDeclarations(c.Services)
	sortDeclarations(c.Jobs)
	sortDeclarations(c.YieldRules)
	slices.SortFunc(c.Origins, compareOrigins)
	return c
}
