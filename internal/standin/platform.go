package standin

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/roster"
)

// Platform is a stand-in for the platform's instance list. It is an http.Handler. A
// change shows on the list only after Lag.
type Platform struct {
	// Lag is the delay until a change shows on the list. It must be set before use.
	Lag time.Duration

	mu        sync.Mutex
	instances map[string]platformRow
	order     []string
}

// platformRow is one instance as the list shows it, with the change that is not shown yet.
type platformRow struct {
	listed  *roster.Instance
	pending *roster.Instance
	// pendingUntil is when the pending change or removal shows.
	pendingUntil time.Time
	removing     bool
}

// NewPlatform returns an empty list.
func NewPlatform() *Platform {
	return &Platform{instances: map[string]platformRow{}}
}

// Set adds or changes an instance.
func (p *Platform) Set(i roster.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, known := p.instances[i.ID]
	if !known {
		p.order = append(p.order, i.ID)
	}
	row = row.afterLag(time.Now())
	row.pending = &i
	row.removing = false
	row.pendingUntil = time.Now().Add(p.Lag)
	p.instances[i.ID] = row
}

// SetState changes the state of an instance.
func (p *Platform) SetState(id string, s roster.State) {
	if i, ok := p.latest(id); ok {
		i.State = s
		p.Set(i)
	}
}

// Remove removes an instance from the list.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, known := p.instances[id]
	if !known {
		return
	}
	row = row.afterLag(time.Now())
	row.removing = true
	row.pendingUntil = time.Now().Add(p.Lag)
	p.instances[id] = row
}

// latest returns the actual state of an instance, regardless of the lag.
func (p *Platform) latest(id string) (roster.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.instances[id]
	if !ok || row.removing {
		return roster.Instance{}, false
	}
	if row.pending != nil {
		return *row.pending, true
	}
	return *row.listed, true
}

// afterLag returns the row with its pending change applied if the lag has passed.
func (r platformRow) afterLag(now time.Time) platformRow {
	if now.Before(r.pendingUntil) {
		return r
	}
	if r.removing {
		return platformRow{}
	}
	if r.pending != nil {
		r.listed, r.pending = r.pending, nil
	}
	return r
}

// Listed returns the instances that the list shows now.
func (p *Platform) Listed() []roster.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shown []roster.Instance
	for _, id := range p.order {
		row := p.instances[id].afterLag(time.Now())
		p.instances[id] = row
		if row.listed != nil {
			shown = append(shown, *row.listed)
		}
	}
	return shown
}

// ServeHTTP responds with the instances that the list shows now.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := roster.Encode(p.Listed())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%x"`, sha256.Sum256(text))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(text)
}
