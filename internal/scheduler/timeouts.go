package scheduler

import (
	"sync"
	"time"
)

const (
	// minAnswerTimeout and maxAnswerTimeout bound the wait for the answer to a command or poll: an
	// unanswered command has to be stopped and repeated, which makes a link that is
	// only slow even slower.
	minAnswerTimeout = 600 * time.Millisecond
	maxAnswerTimeout = 2 * time.Second
	// The timeout is answerTimeoutBase plus latencyFactor times the mean latency.
	answerTimeoutBase = 500 * time.Millisecond
	latencyFactor     = 3
	// latencyWeight is the weight of the newest answer in the mean latency, an exponential moving average.
	latencyWeight = 0.05
)

// answerTimeouts tracks the mean latency of answers by data centre. A slow link
// delays the answers of all workers there, an unresponsive worker only its own.
type answerTimeouts struct {
	mu          sync.Mutex
	meanLatency map[string]time.Duration
}

// observe records the latency of an answer, or how long a call waited without one.
func (t *answerTimeouts) observe(dataCentre string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.meanLatency == nil {
		t.meanLatency = map[string]time.Duration{}
	}
	mean := t.meanLatency[dataCentre]
	t.meanLatency[dataCentre] = mean + time.Duration(latencyWeight*float64(latency-mean))
}

// timeout returns how long to wait for an answer from a data centre.
func (t *answerTimeouts) timeout(dataCentre string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(maxAnswerTimeout, max(minAnswerTimeout, answerTimeoutBase+latencyFactor*t.meanLatency[dataCentre]))
}
