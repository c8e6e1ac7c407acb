package batch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/oriolepond/oriolepond/internal/interference"
)

// wireEffects is the stored form of the interference effects on one serving image: how much
// headroom it loses beside each other image.
type wireEffects struct {
	Image   string                `json:"image"`
	Effects map[string]wireEffect `json:"takes"`
}

type wireEffect struct {
	Precision float64 `json:"precision"`
	Weighted  float64 `json:"weighted"`
}

// learnedShare is the part of the largest value of the store that the interference effects may take.
// Every other cell reads them again and again.
const learnedShare = 4

// encodedEffect is a pair of images with the stored form of the effect, and how many bytes the pair
// takes in a row that exists.
type encodedEffect struct {
	imagePair
	wireEffect
	bytes int
}

// EncodeEffects returns the interference effects that this Core has measured, in their stored form,
// for the next leader and for other cells. If there are too many, it returns those that are known
// best.
func (c *Core) EncodeEffects() ([]byte, error) {
	limit := c.recordLimit / learnedShare
	effects, err := c.measuredEffects(max(1, limit/effectBytes))
	if err != nil {
		return nil, err
	}
	slices.SortFunc(effects, func(a, b encodedEffect) int {
		return cmp.Or(cmp.Compare(b.Precision, a.Precision), cmp.Compare(a.serving, b.serving), cmp.Compare(a.beside, b.beside))
	})
	rows := []wireEffects{}
	index := map[string]int{}
	size := 0
	for _, e := range effects {
		i, known := index[e.serving]
		bytes := e.bytes
		if !known {
			head, err := json.Marshal(wireEffects{Image: e.serving, Effects: map[string]wireEffect{}})
			if err != nil {
				return nil, err
			}
			bytes += len(head) + len(",")
		}
		if size+bytes > limit {
			break
		}
		size += bytes
		if !known {
			i, index[e.serving] = len(rows), len(rows)
			rows = append(rows, wireEffects{Image: e.serving, Effects: map[string]wireEffect{}})
		}
		rows[i].Effects[e.beside] = e.wireEffect
	}
	return json.Marshal(rows)
}

// measuredEffects returns the interference effects that this Core has measured: if there are more
// than limit, at least that many of those that are known best.
func (c *Core) measuredEffects(limit int) ([]encodedEffect, error) {
	var precisions []float64
	for _, serving := range c.images {
		for _, beside := range c.images {
			if e, known := c.headroom.MeasuredEvidence(serving, beside); known {
				precisions = append(precisions, e.Precision)
			}
		}
	}
	minPrecision := 0.0
	if len(precisions) > limit {
		slices.Sort(precisions)
		minPrecision = precisions[len(precisions)-limit]
	}
	names := map[string]int{}
	for image := range c.images {
		name, err := json.Marshal(image)
		if err != nil {
			return nil, err
		}
		names[image] = len(name)
	}
	var effects []encodedEffect
	for image, serving := range c.images {
		for other, beside := range c.images {
			if e, known := c.headroom.MeasuredEvidence(serving, beside); known && e.Precision >= minPrecision {
				effects = append(effects, encodedEffect{
					imagePair: imagePair{image, other}, wireEffect: wireEffect{Precision: e.Precision, Weighted: e.WeightedMean},
					bytes: names[other] + effectBytes,
				})
			}
		}
	}
	return effects, nil
}

// effectBytes is the greatest size of an effect without the names of its images: two numbers of at
// most 25 characters, their names and the punctuation.
const effectBytes = 2*25 + len(`:{"precision":,"weighted":},`)

// RestoreEffects loads the interference effects that an earlier leader measured.
func (c *Core) RestoreEffects(value []byte) error {
	evidence, err := decodeEffects(value)
	if err != nil {
		return err
	}
	for _, p := range sortedPairs(evidence) {
		c.headroom.Set(c.imageID(p.serving), c.imageID(p.beside), evidence[p])
	}
	return nil
}

// SetPeerEffects replaces the interference effects that other cells have measured, by cell.
func (c *Core) SetPeerEffects(values map[int][]byte) error {
	evidence := map[imagePair][]interference.Evidence{}
	for _, cell := range slices.Sorted(maps.Keys(values)) {
		all, err := decodeEffects(values[cell])
		if err != nil {
			return fmt.Errorf("cell %d: %w", cell, err)
		}
		for p, e := range all {
			evidence[p] = append(evidence[p], e)
		}
	}
	for _, p := range sortedPairs(evidence) {
		c.headroom.SetReceivedEvidence(c.imageID(p.serving), c.imageID(p.beside), evidence[p]...)
	}
	return nil
}

// imagePair is a serving image and an image that runs beside it on the same worker.
type imagePair struct{ serving, beside string }

// sortedPairs returns the keys of a map in a fixed order.
func sortedPairs[V any](byPair map[imagePair]V) []imagePair {
	return slices.SortedFunc(maps.Keys(byPair), func(a, b imagePair) int {
		return cmp.Or(cmp.Compare(a.serving, b.serving), cmp.Compare(a.beside, b.beside))
	})
}

// decodeEffects decodes interference effects from their stored form: for each pair, the evidence of
// how much headroom the serving image loses.
func decodeEffects(value []byte) (map[imagePair]interference.Evidence, error) {
	var rows []wireEffects
	if err := json.Unmarshal(value, &rows); err != nil {
		return nil, fmt.Errorf("decode interference effects: %w", err)
	}
	evidence := map[imagePair]interference.Evidence{}
	for _, row := range rows {
		for other, e := range row.Effects {
			evidence[imagePair{row.Image, other}] = interference.Evidence{Precision: e.Precision, WeightedMean: e.Weighted}
		}
	}
	return evidence, nil
}
