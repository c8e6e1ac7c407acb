package interference

import (
	"slices"
	"time"
)

// historySpan is how long residents are remembered.
const historySpan = 2 * time.Minute

// History remembers the loads of each worker over the last minutes.
type History struct {
	workers map[string][]period
}

// period is a time from which loads were resident, until the next period.
type period struct {
	from  time.Time
	loads []Load
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{workers: map[string][]period{}}
}

// Set says which loads are on a worker from a time on; it keeps the slice.
func (h *History) Set(worker string, at time.Time, loads []Load) {
	periods := h.workers[worker]
	if n := len(periods); n > 0 && !periods[n-1].from.Before(at) {
		periods[n-1].loads = loads
		return
	}
	old := 0
	for old+1 < len(periods) && periods[old+1].from.Before(at.Add(-historySpan)) {
		old++
	}
	periods = slices.Delete(periods, 0, old)
	h.workers[worker] = append(periods, period{from: at, loads: loads})
}

// Remove forgets a worker.
func (h *History) Remove(worker string) {
	delete(h.workers, worker)
}

// Mean returns the mean loads of a worker over a window of time, and whether
// the whole window is remembered.
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

// addLoads adds loads, each multiplied by a factor, to a sum.
func addLoads(sum, loads []Load, factor float64) []Load {
	for _, l := range loads {
		i := slices.IndexFunc(sum, func(s Load) bool { return s.Aggressor == l.Aggressor })
		if i < 0 {
			i = len(sum)
			sum = append(sum, Load{Aggressor: l.Aggressor})
		}
		sum[i].Amount += l.Amount * factor
	}
	return sum
}
