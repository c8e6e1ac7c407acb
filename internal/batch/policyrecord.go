package batch

import "time"

// wirePolicy is the rest of the queue's configuration when the job was accepted. Records of
// earlier versions have only the service.
type wirePolicy struct {
	Priority int     `json:"priority,omitempty"`
	Attempts int     `json:"attempts,omitempty"`
	Slack    float64 `json:"slack,omitempty"`
	TargetMs int64   `json:"targetMillis,omitempty"`
	Advised  bool    `json:"advised,omitempty"`
}

// encodePolicy returns the stored form of a policy without its service, or nil if there is none.
func encodePolicy(q Queue) *wirePolicy {
	if q.Name == "" {
		return nil
	}
	return &wirePolicy{Priority: q.Priority, Attempts: q.Attempts, Slack: q.Slack, TargetMs: q.Target.Milliseconds(), Advised: q.Advised}
}

// decodePolicy returns the policy in a record. It has no name if the record has only the service.
func decodePolicy(w wireJob) Queue {
	if w.Policy == nil {
		return Queue{Service: w.Service}
	}
	p := w.Policy
	return Queue{
		Name: w.Queue, Service: w.Service, Priority: p.Priority, Attempts: p.Attempts, Slack: p.Slack,
		Target: time.Duration(p.TargetMs) * time.Millisecond, Advised: p.Advised,
	}
}
