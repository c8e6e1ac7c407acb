package interference

import (
	"slices"
	"time"
)

// historyRetention is how long the loads of a worker are kept.
const historyRetention = 2 * time.Minute

// History records which loads were on each worker, and keeps them for at least
// historyRetention.
type History struct {
	workers map[string][]period
}

// period records the loads of a worker from a time on, until the next period begins.
type period struct {
	from  time.Time
	loads []Load
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{workers: map[string][]period{}}
}

// Set records the loads of a worker from a time on. It retains the slice.
func (h *History) Set(worker string, at time.Time, loads []Load) {
	periods := h.workers[worker]
	if n := len(periods); n > 0 && !periods[n-1].from.Before(at) {
		periods[n-1].loads = loads
		return
	}
	old := 0
	for old+1 < len(periods) && periods[old+1].from.Before(at.Add(-historyRetention)) {
		old++
	}
	periods = slices.Delete(periods, 0, old)
	h.workers[worker] = append(periods, period{from: at, loads: loads})
}

// Remove deletes the history of a worker.
func (h *History) Remove(worker string) {
	delete(h.workers, worker)
}

// Mean returns the time-weighted mean loads of a worker between two times, and
// whether the history covers the whole window.
func (h *History) Mean(worker string, from, to time.Time) ([]Load, bool) {
	periods := h.workers[worker]
	if len(periods) == 0 || periods[0].from.After(from) || !from.Before(to) {
		return nil, false
	}
	var mean []Load
	for i, p := range periods {
		begin, end := p.from, to
		if i+1 < len(periods) && periods[i+1].from.Before(to) {
			end = periods[i+1].from
		}
		if begin.Before(from) {
			begin = from
		}
		if begin.Before(end) {
			mean = addLoads(mean, p.loads, float64(end.Sub(begin))/float64(to.Sub(from)))
		}
	}
	return mean, true
}

// addLoads adds loads, each multiplied by a factor, to a sum by aggressor.
func addLoads(sum, loads []Load, factor float64) []Load {
	for _, l := range loads {
		i := slices.IndexFunc(sum, func(load Load) bool { return load.Aggressor == l.Aggressor })
		if i < 0 {
			i = len(sum)
			sum = append(sum, Load{Aggressor: l.Aggressor})
		}
		sum[i].Amount += l.Amount * factor
	}
	return sum
}
