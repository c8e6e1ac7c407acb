package standin

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/roster"
)

// Platform is a stand-in for the platform's instance list. It is an
// http.Handler. Changes show on the list only after Lag.
type Platform struct {
	// Lag is how long a change takes to show; set before use.
	Lag time.Duration

	mu        sync.Mutex
	instances map[string]platformRow
	order     []string
}

type platformRow struct {
	shown    *roster.Instance
	changed  *roster.Instance
	visible  time.Time
	withdraw bool
}

// NewPlatform returns an empty list.
func NewPlatform() *Platform {
	return &Platform{instances: map[string]platformRow{}}
}

// Set adds an instance, or changes it.
func (p *Platform) Set(i roster.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, known := p.instances[i.ID]
	if !known {
		p.order = append(p.order, i.ID)
	}
	row = row.settled(time.Now())
	row.changed = &i
	row.withdraw = false
	row.visible = time.Now().Add(p.Lag)
	p.instances[i.ID] = row
}

// SetState changes the state of an instance.
func (p *Platform) SetState(id string, s roster.State) {
	if i, ok := p.newest(id); ok {
		i.State = s
		p.Set(i)
	}
}

// Remove takes an instance off the list.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, known := p.instances[id]
	if !known {
		return
	}
	row = row.settled(time.Now())
	row.withdraw = true
	row.visible = time.Now().Add(p.Lag)
	p.instances[id] = row
}

// newest returns an instance as it truly is, before the lag.
func (p *Platform) newest(id string) (roster.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.instances[id]
	if !ok || row.withdraw {
		return roster.Instance{}, false
	}
	if row.changed != nil {
		return *row.changed, true
	}
	return *row.shown, true
}

// settled returns the row after any change whose lag has passed.
func (r platformRow) settled(now time.Time) platformRow {
	if now.Before(r.visible) {
		return r
	}
	if r.withdraw {
		return platformRow{}
	}
	if r.changed != nil {
		r.shown, r.changed = r.changed, nil
	}
	return r
}

// Shown returns the list as it is shown now.
func (p *Platform) Shown() []roster.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shown []roster.Instance
	for _, id := range p.order {
		row := p.instances[id].settled(time.Now())
		p.instances[id] = row
		if row.shown != nil {
			shown = append(shown, *row.shown)
		}
	}
	return shown
}

// ServeHTTP answers with the list as it is shown now.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := roster.Encode(p.Shown())
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
