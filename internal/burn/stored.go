package burn

import (
	"context"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/store"
)

// Stored holds the counts of all instances, read from the store at one revision.
type Stored struct {
	Snapshot
	// Open lists the instances that may have counted more requests since their last
	// write. Instances that wrote a final state are not listed.
	Open []Gap
	// Lost lists the instances that terminated without writing a final state.
	Lost []Gap
}

// ReadStored reads the counts of the last KeptSlots slots from the store.
func ReadStored(ctx context.Context, c *store.Client, now time.Time) (Stored, error) {
	list, err := c.List(ctx, Prefix)
	if err != nil {
		return Stored{}, err
	}
	var stored Stored
	oldest := SlotOf(now) - KeptSlots
	for _, e := range list.Entries {
		s, err := decodeState(e.Value)
		if err != nil {
			return Stored{}, err
		}
		kept := filterSlots(s.series, func(index int64) bool { return index > oldest })
		if stored.series, err = addSeries(stored.series, kept); err != nil {
			return Stored{}, err
		}
		stored.Lost = append(stored.Lost, s.gaps...)
		if id, own := strings.CutPrefix(e.Key, instancePrefix); own && !s.final {
			stored.Open = append(stored.Open, Gap{Instance: id, Since: s.at})
		}
	}
	return stored, nil
}
