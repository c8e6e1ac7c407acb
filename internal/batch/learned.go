package batch

import (
	"encoding/json"
	"fmt"

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

// EncodeEffects returns the interference effects that this Core has measured, in their stored form,
// for the next leader and for other cells.
func (c *Core) EncodeEffects() ([]byte, error) {
	var rows []wireEffects
	for image, serving := range c.images {
		row := wireEffects{Image: image, Effects: map[string]wireEffect{}}
		for other, beside := range c.images {
			if e, known := c.headroom.MeasuredEvidence(serving, beside); known {
				row.Effects[other] = wireEffect{Precision: e.Precision, Weighted: e.WeightedMean}
			}
		}
		if len(row.Effects) > 0 {
			rows = append(rows, row)
		}
	}
	return json.Marshal(rows)
}

// RestoreEffects loads the interference effects that an earlier leader measured.
func (c *Core) RestoreEffects(value []byte) error {
	evidence, err := decodeEffects(value)
	if err != nil {
		return err
	}
	for p, e := range evidence {
		c.headroom.Set(c.imageID(p.serving), c.imageID(p.beside), e)
	}
	return nil
}

// SetPeerEffects replaces the interference effects that other cells have measured, by cell.
func (c *Core) SetPeerEffects(values map[int][]byte) error {
	evidence := map[imagePair][]interference.Evidence{}
	for cell, value := range values {
		all, err := decodeEffects(value)
		if err != nil {
			return fmt.Errorf("cell %d: %w", cell, err)
		}
		for p, e := range all {
			evidence[p] = append(evidence[p], e)
		}
	}
	for p, all := range evidence {
		c.headroom.SetReceivedEvidence(c.imageID(p.serving), c.imageID(p.beside), all...)
	}
	return nil
}

// imagePair is a serving image and an image that runs beside it on the same worker.
type imagePair struct{ serving, beside string }

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
