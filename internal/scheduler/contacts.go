package scheduler

import (
	"encoding/json"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
)

// wireContacts are batch.Contacts with encoded sets.
type wireContacts struct {
	Seen  []byte `json:"seen,omitempty"`
	First []byte `json:"first,omitempty"`
}

// inheritedContacts returns the contacts in the entry with the record of terms, nil if there are none.
func inheritedContacts(e store.Entry) *batch.Contacts {
	var w wireTerms
	if json.Unmarshal(e.Value, &w) != nil || w.Contacts == nil || w.Serving != nil || len(w.Open) > 0 {
		return nil
	}
	seen, err := batch.DecodeWitnesses(w.Contacts.Seen)
	if err != nil {
		return nil
	}
	first, err := batch.DecodeWitnesses(w.Contacts.First)
	if err != nil {
		return nil
	}
	return &batch.Contacts{Seen: seen, First: first}
}

// contactsShare is the share of the store's largest value that contacts may take, before they are encoded
// as text; a record with more workers is written without them.
const contactsShare = 4

// recordContacts adds what the next leader has to know of this one's calls to workers to the record.
func (l *Leader) recordContacts() {
	if l.core == nil {
		// The term has ended before it was restored, and has called nobody.
		l.terms.mu.Lock()
		defer l.terms.mu.Unlock()
		l.terms.contacts = l.terms.inherited
		return
	}
	var known batch.Contacts
	var complete bool
	now := l.Now()
	l.withLock(func() {
		known, complete = l.core.Contacts(now)
		complete = complete && !l.corePanicked
	})
	if !complete || l.MaxStoreValue > 0 && len(known.Seen.Encode())+len(known.First.Encode()) > l.MaxStoreValue/contactsShare {
		return
	}
	l.terms.mu.Lock()
	defer l.terms.mu.Unlock()
	l.terms.contacts = &known
}
