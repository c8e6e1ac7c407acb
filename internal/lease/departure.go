package lease

import "time"

// Departure is what an instance knows of a holder whose lease has lapsed.
type Departure struct {
	supported time.Time
	missing   time.Time
}

// Supported says whether all peers support the take-over now.
func (d *Departure) Supported(all bool, now time.Time) { mark(&d.supported, all, now) }

// Missing says whether the platform's list, read now, lacks the holder.
func (d *Departure) Missing(missing bool, now time.Time) { mark(&d.missing, missing, now) }

// mark keeps the first time since when something has been so.
func mark(since *time.Time, so bool, now time.Time) {
	switch {
	case !so:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// Gone reports whether the holder surely has nothing in flight: it has been
// supported, or missing for the list's lag, and then the longest time that a
// request, or a promise that the holder made, can last.
func (d *Departure) Gone(now time.Time, longest, lag time.Duration) bool {
	return passed(d.supported, now, longest) || passed(d.missing, now, lag+longest)
}

func passed(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && !now.Before(since.Add(Longer(d)))
}
