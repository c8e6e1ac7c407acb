package scheduler

import (
	"sync"
	"time"
)

const (
	// leastPatience and mostPatience bound how long an order is waited for: an
	// order without an answer has to be stopped and repeated, which a link that
	// is only slow makes worse.
	leastPatience = 600 * time.Millisecond
	mostPatience  = 2 * time.Second
	// patienceBase and patienceTimes make it from the usual time of an answer.
	patienceBase  = 500 * time.Millisecond
	patienceTimes = 3
	// latencyPart is the weight of one answer in the usual time.
	latencyPart = 0.05
)

// patience knows the usual time of an answer by data centre, so that a slow
// link is told from a silent worker: it slows the answers of all workers there.
type patience struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// observe takes how long an answer took, or how long one was waited for in vain.
func (p *patience) observe(dataCentre string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == nil {
		p.usual = map[string]time.Duration{}
	}
	usual := p.usual[dataCentre]
	p.usual[dataCentre] = usual + time.Duration(latencyPart*float64(took-usual))
}

// of returns how long an answer from a data centre is waited for.
func (p *patience) of(dataCentre string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(mostPatience, max(leastPatience, patienceBase+patienceTimes*p.usual[dataCentre]))
}
