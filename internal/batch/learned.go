package batch

import (
	"encoding/json"
	"fmt"
)

// wireHarm is the durable form of what was learned of one serving image: the
// probability that others harm it.
type wireHarm struct {
	Image string             `json:"image"`
	By    map[string]float64 `json:"by"`
}

// Learned returns what was learned of images that harm others, for the next holder.
func (c *Core) Learned() ([]byte, error) {
	var all []wireHarm
	for image, victim := range c.images {
		h := wireHarm{Image: image, By: map[string]float64{}}
		for other, aggressor := range c.images {
			if risk, known := c.risk.Known(victim, aggressor); known {
				h.By[other] = risk
			}
		}
		if len(h.By) > 0 {
			all = append(all, h)
		}
	}
	return json.Marshal(all)
}

// RestoreLearned takes what an earlier holder learned.
func (c *Core) RestoreLearned(value []byte) error {
	var all []wireHarm
	if err := json.Unmarshal(value, &all); err != nil {
		return fmt.Errorf("decode what was learned: %w", err)
	}
	for _, h := range all {
		for other, risk := range h.By {
			c.risk.Set(c.imageID(h.Image), c.imageID(other), risk)
		}
	}
	return nil
}

// SetLearned takes what the holders of other cells have learned, by cell, in
// place of what they told before.
func (c *Core) SetLearned(values map[int][]byte) error {
	type pair struct{ victim, aggressor int }
	risks := map[pair][]float64{}
	for cell, value := range values {
		var all []wireHarm
		if err := json.Unmarshal(value, &all); err != nil {
			return fmt.Errorf("decode what cell %d learned: %w", cell, err)
		}
		for _, h := range all {
			for other, risk := range h.By {
				p := pair{c.imageID(h.Image), c.imageID(other)}
				risks[p] = append(risks[p], risk)
			}
		}
	}
	for p, all := range risks {
		c.risk.SetOthers(p.victim, p.aggressor, all...)
	}
	return nil
}
