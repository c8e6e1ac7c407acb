package burn

import (
	"context"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/store"
)

// Stored is what the store holds of all instances, at one revision.
type Stored struct {
	Snapshot
	// Open names the instances that may have counted more since their last
	// write; one that has written its last is not among them.
	Open []Gap
	// Lost names the instances that ended without their last write.
	Lost []Gap
}

// ReadStored returns the counts within the kept slots.
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
		kept := slotsOf(s.series, func(index int64) bool { return index > oldest })
		if stored.series, err = plus(stored.series, kept); err != nil {
			return Stored{}, err
		}
		stored.Lost = append(stored.Lost, s.gaps...)
		if id, own := strings.CutPrefix(e.Key, ownPrefix); own && !s.final {
			stored.Open = append(stored.Open, Gap{Instance: id, Since: s.at})
		}
	}
	return stored, nil
}
