package lease

import "time"

// Departure collects an instance's evidence that a lease holder has stopped, so that
// others may take over: the support of all peers, and the holder's absence from the
// platform's instance list.
type Departure struct {
	supportedSince time.Time
	missingSince   time.Time
	// listReadAt is when the newest instance list was read.
	listReadAt time.Time
}

// SetSupported records whether all peers support the takeover at the given time.
func (d *Departure) SetSupported(supported bool, now time.Time) {
	setSince(&d.supportedSince, supported, now)
}

// SetMissing records whether the platform's instance list, read at the given time, lacks
// the holder.
func (d *Departure) SetMissing(missing bool, now time.Time) {
	setSince(&d.missingSince, missing, now)
	d.listReadAt = now
}

// setSince sets since to the time from which the condition has been true without
// interruption, or to zero if it is false.
func setSince(since *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// ExpiredSince returns a time since which the holder is guaranteed to have neither a
// valid lease nor an open promise, and whether such a time is known. It is known if all
// peers support the takeover, or if the instance list has lacked the holder for longer
// than listLag.
func (d *Departure) ExpiredSince(listLag time.Duration) (since time.Time, expired bool) {
	if since, stopped := d.stoppedSince(listLag); stopped {
		return since, true
	}
	return d.supportedSince, !d.supportedSince.IsZero()
}

// stoppedSince returns a time since which the holder is guaranteed not to run, and
// whether such a time is known: the instance list must have lacked the holder for longer
// than listLag, and must have been read again after that.
func (d *Departure) stoppedSince(listLag time.Duration) (since time.Time, stopped bool) {
	if d.missingSince.IsZero() {
		return time.Time{}, false
	}
	since = d.missingSince.Add(Longer(listLag))
	return since, !d.listReadAt.Before(since)
}

// Terminated reports whether the holder is guaranteed to have nothing in flight: its
// lease and promises have expired, or its process has stopped, and since then more time
// has passed than a request, or a promise that the holder gave to others, can last.
func (d *Departure) Terminated(now time.Time, maxRequestTime, listLag time.Duration) bool {
	if since, stopped := d.stoppedSince(listLag); stopped && elapsed(since, now, maxRequestTime) {
		return true
	}
	return elapsed(d.supportedSince, now, maxRequestTime)
}

func elapsed(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && !now.Before(since.Add(Longer(d)))
}
