package batch

// wireCrashes is the stored form of a crashCount.
type wireCrashes struct {
	// Total and Early are missing in records of versions that counted expired leases, too.
	Total     int  `json:"t"`
	Early     int  `json:"s,omitempty"`
	Confirmed int  `json:"c,omitempty"`
	Isolate   bool `json:"e,omitempty"`
	Unproven  bool `json:"u,omitempty"`
	Culprit   bool `json:"g,omitempty"`
}

func encodeCrashes(n crashCount) *wireCrashes {
	if n == (crashCount{}) {
		return nil
	}
	return &wireCrashes{Total: n.total, Early: n.early, Confirmed: n.confirmed, Isolate: n.isolate, Unproven: n.unproven, Culprit: n.culprit}
}

func decodeCrashes(w *wireCrashes) crashCount {
	if w == nil {
		return crashCount{}
	}
	return crashCount{
		total: max(w.Total, w.Confirmed), early: w.Early, confirmed: w.Confirmed, isolate: w.Isolate, unproven: w.Unproven, culprit: w.Culprit,
	}
}
