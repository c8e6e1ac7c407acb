package scheduler

import (
	"encoding/json"
	"strconv"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// maxCells bounds what a node takes for a number of cells: 300 workers each, for
// a hundred times the size to design for.
const maxCells = 400

func (p *Scheduler) holderUpdate(u store.Update) {
	for _, c := range u.Changes {
		if c.Deleted && c.Entry.Key != ConfigCopyKey {
			p.setHolder(c.Entry.Key, holderRef{})
		} else if !c.Deleted {
			p.takeKey(c.Entry)
		}
	}
}

// setHolder notes what a holder's key says.
func (p *Scheduler) setHolder(key string, ref holderRef) {
	p.mu.Lock()
	if p.holders == nil {
		p.holders = map[string]holderRef{}
	}
	p.holders[key] = ref
	desks := p.desks
	p.mu.Unlock()
	for _, d := range desks {
		if key == d.keys.holder {
			d.setHolder(ref)
		}
	}
}

// takeHolders takes all keys about holders.
func (p *Scheduler) takeHolders(entries []store.Entry) {
	found := map[string]bool{}
	for _, e := range entries {
		found[e.Key] = true
		p.takeKey(e)
	}
	for _, d := range p.all() {
		if !found[d.keys.holder] {
			p.setHolder(d.keys.holder, holderRef{})
		}
	}
	if p.OnConfigCopies != nil {
		p.OnConfigCopies(nil, true)
	}
}

// takeKey takes one key about holders that is there.
func (p *Scheduler) takeKey(e store.Entry) {
	switch e.Key {
	case bestKey:
		p.setBest(e.Value)
	case ConfigCopyKey:
		if p.OnConfigCopies != nil {
			p.OnConfigCopies([]store.Entry{e}, false)
		}
	case CellsKey:
		count, err := strconv.Atoi(string(e.Value))
		if err != nil || count < 1 || count > maxCells {
			p.Log.Emit(eventlog.RecordUnreadable, zap.String("key", CellsKey), zap.ByteString("value", e.Value), zap.Error(err))
			return
		}
		p.open(count)
	default:
		p.setHolder(e.Key, decodeHolder(e))
	}
}

// wireHolder is the value of a holder's key.
type wireHolder struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

func decodeHolder(e store.Entry) holderRef {
	var w wireHolder
	if err := json.Unmarshal(e.Value, &w); err != nil {
		// A key that cannot be read still keeps others from the term.
		return holderRef{ID: "unreadable", Token: e.Revision}
	}
	return holderRef{ID: w.ID, Address: w.Address, Token: e.Revision}
}
