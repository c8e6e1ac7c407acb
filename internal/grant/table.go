// Package grant divides the slots of each target among the entry instances of its
// region. Entry instances are the instances that accept requests from callers. A
// slot is the right to have one request in flight at the target. An entry instance
// uses its slots without asking the others, and their slots together never exceed
// the target's capacity.
//
// A Table lists the members. Allocations are a pure function of the table and of
// the target, so that instances with different instance lists agree on them.
// Instances see a new table at different times; meanwhile an Allocator limits what
// one instance uses, so that all instances together never use more slots than the
// target has.
//
// # Usage
//
//	table, err := grant.Decode(value)
//	a := grant.NewAllocator("entry-1", "bajio")
//	a.Observe(table)
//	a.SetReport("entry-2", grant.Report{Epoch: table.Epoch})
//	n := a.Usable("runner-17", "bajio", 8)
package grant

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry instance that is allocated slots.
type Member struct {
	ID     string
	Region string
}

// Table is the grant table: the list of members among which slots are divided. It is
// rewritten only when membership changes.
type Table struct {
	// Epoch grows by one with each change.
	Epoch   int64
	Members []Member
	// Departed are previous members that may still have requests in flight.
	Departed []Member
}

// With returns the next table, with the member added.
func (t Table) With(m Member) Table {
	next := Table{Epoch: t.Epoch + 1, Members: append(slices.Clone(t.Members), m), Departed: t.Departed}
	slices.SortFunc(next.Members, compareMembers)
	return next
}

// Without returns the next table, in which the given members have departed.
func (t Table) Without(ids ...string) Table {
	next := Table{Epoch: t.Epoch + 1, Departed: slices.Clone(t.Departed)}
	for _, m := range t.Members {
		if slices.Contains(ids, m.ID) {
			next.Departed = append(next.Departed, m)
			continue
		}
		next.Members = append(next.Members, m)
	}
	slices.SortFunc(next.Departed, compareMembers)
	return next
}

// Forget returns the next table, without the given departed members. They must have
// nothing in flight any more.
func (t Table) Forget(ids ...string) Table {
	next := Table{Epoch: t.Epoch + 1, Members: t.Members}
	for _, m := range t.Departed {
		if !slices.Contains(ids, m.ID) {
			next.Departed = append(next.Departed, m)
		}
	}
	return next
}

// Has reports whether the instance is a member.
func (t Table) Has(id string) bool { return contains(t.Members, id) }

// HasDeparted reports whether the instance is a departed member.
func (t Table) HasDeparted(id string) bool { return contains(t.Departed, id) }

// Entries returns the members and departed members of a region.
func (t Table) Entries(region string) []Member {
	var entries []Member
	for _, list := range [][]Member{t.Members, t.Departed} {
		for _, m := range list {
			if m.Region == region {
				entries = append(entries, m)
			}
		}
	}
	return entries
}

// Owner returns the member of a region that owns a key, or "" if the region has no
// members. A membership change reassigns only the keys of the members that changed.
func (t Table) Owner(key, region string) string {
	owner, best := "", uint64(0)
	for _, m := range t.Members {
		if m.Region != region {
			continue
		}
		if weight := rendezvousWeight(key, m.ID); owner == "" || weight > best {
			owner, best = m.ID, weight
		}
	}
	return owner
}

// rendezvousWeight returns the weight of a member for a key in rendezvous hashing.
func rendezvousWeight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

func contains(list []Member, id string) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == id })
}

// Slots returns how many of a target's slots this table allocates to a member. Slots are
// divided evenly; a remainder goes, one each, to members chosen by the hash of the target.
func (t Table) Slots(member, target, region string, slots int) int {
	index, count := -1, 0
	for _, m := range t.Members {
		if m.Region != region {
			continue
		}
		if m.ID == member {
			index = count
		}
		count++
	}
	if index < 0 {
		return 0
	}
	share, remainder := slots/count, slots%count
	firstIndex := int(xxhash.Sum64String(target) % uint64(count))
	if (index-firstIndex+count)%count < remainder {
		share++
	}
	return share
}

func compareMembers(a, b Member) int {
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}

type (
	wireMember struct {
		ID     string `json:"id"`
		Region string `json:"region"`
	}
	wireTable struct {
		Epoch    int64        `json:"epoch"`
		Members  []wireMember `json:"members"`
		Departed []wireMember `json:"departed,omitempty"`
	}
)

// Encode returns the stored form of a table.
func Encode(t Table) ([]byte, error) {
	w := wireTable{Epoch: t.Epoch, Members: []wireMember{}}
	for _, m := range t.Members {
		w.Members = append(w.Members, wireMember(m))
	}
	for _, m := range t.Departed {
		w.Departed = append(w.Departed, wireMember(m))
	}
	return json.Marshal(w)
}

// Decode parses the stored form of a table.
func Decode(text []byte) (Table, error) {
	var w wireTable
	if err := json.Unmarshal(text, &w); err != nil {
		return Table{}, fmt.Errorf("decode grant table: %w", err)
	}
	t := Table{Epoch: w.Epoch}
	for _, m := range w.Members {
		t.Members = append(t.Members, Member(m))
	}
	for _, m := range w.Departed {
		t.Departed = append(t.Departed, Member(m))
	}
	return t, nil
}
