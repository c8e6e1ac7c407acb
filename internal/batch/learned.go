package batch

import (
	"encoding/json"
	"fmt"

	"github.com/oriolepond/oriolepond/internal/interference"
)

// wireHarm is the durable form of what was measured of one serving image: how
// much of its headroom others take.
type wireHarm struct {
	Image string                `json:"image"`
	Takes map[string]wireEffect `json:"takes"`
}

type wireEffect struct {
	Precision float64 `json:"precision"`
	Weighted  float64 `json:"weighted"`
}

// EncodeEffects returns what was learned of images that disturb others, for the next holder.
func (c *Core) EncodeEffects() ([]byte, error) {
	var all []wireHarm
	for image, victim := range c.images {
		h := wireHarm{Image: image, Takes: map[string]wireEffect{}}
		for other, aggressor := range c.images {
			if e, known := c.headroom.MeasuredEvidence(victim, aggressor); known {
				h.Takes[other] = wireEffect{Precision: e.Precision, Weighted: e.WeightedMean}
			}
		}
		if len(h.Takes) > 0 {
			all = append(all, h)
		}
	}
	return json.Marshal(all)
}

// RestoreEffects takes what an earlier holder learned.
func (c *Core) RestoreEffects(value []byte) error {
	all, err := decodeLearned(value)
	if err != nil {
		return err
	}
	for p, e := range all {
		c.headroom.Set(c.imageID(p.victim), c.imageID(p.aggressor), e)
	}
	return nil
}

// SetPeerEffects takes what the holders of other cells have learned, by cell, in
// place of what they told before.
func (c *Core) SetPeerEffects(values map[int][]byte) error {
	told := map[imagePair][]interference.Evidence{}
	for cell, value := range values {
		all, err := decodeLearned(value)
		if err != nil {
			return fmt.Errorf("cell %d: %w", cell, err)
		}
		for p, e := range all {
			told[p] = append(told[p], e)
		}
	}
	for p, all := range told {
		c.headroom.SetReceivedEvidence(c.imageID(p.victim), c.imageID(p.aggressor), all...)
	}
	return nil
}

type imagePair struct{ victim, aggressor string }

// decodeLearned returns what was measured of each pair of images.
func decodeLearned(value []byte) (map[imagePair]interference.Evidence, error) {
	var rows []wireHarm
	if err := json.Unmarshal(value, &rows); err != nil {
		return nil, fmt.Errorf("decode what was learned: %w", err)
	}
	all := map[imagePair]interference.Evidence{}
	for _, h := range rows {
		for other, e := range h.Takes {
			all[imagePair{h.Image, other}] = interference.Evidence{Precision: e.Precision, WeightedMean: e.Weighted}
		}
	}
	return all, nil
}
