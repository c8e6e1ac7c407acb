package lease

import "time"

// Departure is what an instance knows of a holder whose lease has lapsed.
type Departure struct {
	supported time.Time
	missing   time.Time
	// confirmed is when a list lacked the holder last.
	confirmed time.Time
}

// Supported says whether all peers support the take-over now.
func (d *Departure) Supported(all bool, now time.Time) { mark(&d.supported, all, now) }

// Missing says whether the platform's list, read now, lacks the holder.
func (d *Departure) Missing(missing bool, now time.Time) {
	mark(&d.missing, missing, now)
	d.confirmed = now
}

// mark keeps the first time since when something has been so.
func mark(since *time.Time, so bool, now time.Time) {
	switch {
	case !so:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// Lapsed returns a time since which the holder surely has neither lease nor
// promise, and whether there is one: the take-over is supported, or the list
// has lacked the holder for its lag.
func (d *Departure) Lapsed(lag time.Duration) (since time.Time, lapsed bool) {
	if since, stopped := d.stopped(lag); stopped {
		return since, true
	}
	return d.supported, !d.supported.IsZero()
}

// stopped returns a time since which the holder surely does not run, by lists
// that lacked it for their lag.
func (d *Departure) stopped(lag time.Duration) (since time.Time, stopped bool) {
	if d.missing.IsZero() {
		return time.Time{}, false
	}
	since = d.missing.Add(Longer(lag))
	return since, !d.confirmed.Before(since)
}

// Gone reports whether the holder surely has nothing in flight: it has lapsed,
// and then the longest time that a request, or a promise that the holder made,
// can last has passed.
func (d *Departure) Gone(now time.Time, longest, lag time.Duration) bool {
	if since, stopped := d.stopped(lag); stopped && passed(since, now, longest) {
		return true
	}
	return passed(d.supported, now, longest)
}

func passed(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && !now.Before(since.Add(Longer(d)))
}
