package burn

import (
	"context"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// Stored is what the store holds of all instances, at one revision.
type Stored struct {
	// Open names the instances that may have counted more since their last
	// write; one that has written its last is not among them.
	Open []Gap
	// Lost names the instances that ended without their last write.
	Lost []Gap

	at     time.Time
	series []packed
}

// ReadStored returns the counts within the kept slots.
func ReadStored(ctx context.Context, c *store.Client, now time.Time) (Stored, error) {
	list, err := c.List(ctx, Prefix)
	if err != nil {
		return Stored{}, err
	}
	stored := Stored{at: now}
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

// Series returns all counts, decoded.
func (s Stored) Series() ([]Series, error) { return unpack(s.series) }

// Report returns the burn of the services of a configuration. It decodes the
// counts of one series at a time, since all together take much memory.
func (s Stored) Report(c release.Config) (Report, error) {
	report := Report{At: s.at}
	for rest := s.series; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Service == rest[0].Service {
			n++
		}
		rows, err := serviceRows(c, rest[:n], s.at)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, rows...)
		rest = rest[n:]
	}
	return report, nil
}

// serviceRows returns the row of a whole service and those of its neighbours.
func serviceRows(c release.Config, all []packed, now time.Time) ([]Row, error) {
	service, ok := c.Service(all[0].Service)
	if !ok {
		return nil, nil
	}
	rows := make([]Row, 1, 1+len(all))
	whole := map[int64]Slot{}
	for _, p := range all {
		one, err := unpack([]packed{p})
		if err != nil {
			return nil, err
		}
		rows = append(rows, newRow(service.Objective, one[0], now))
		for _, slot := range one[0].Slots {
			whole[slot.Index] = sum(whole[slot.Index], slot)
		}
	}
	sums := Series{Key: Key{Service: all[0].Service}, Slots: ordered(whole)}
	rows[0] = newRow(service.Objective, sums, now)
	return rows, nil
}
