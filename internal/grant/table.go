// Package grant divides the slots of each target among the entry instances of
// its region, so that no request needs a round of agreement and the sum never
// exceeds what the target holds.
//
// A Table names the members. The division is a pure function of the table and
// of the target, so that instances with different instance lists agree on it.
//
// # Usage
//
//	table, err := grant.Decode(value)
//	n := table.Slots("entry-1", "runner-17", "bajio", 8)
package grant

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry instance that holds slots.
type Member struct {
	ID     string
	Region string
}

// Table is the grant table, which is rewritten only when membership changes.
type Table struct {
	// Epoch grows by one with each change.
	Epoch   int64
	Members []Member
}

// With returns the next table, with the member added.
func (t Table) With(m Member) Table {
	next := Table{Epoch: t.Epoch + 1, Members: append(slices.Clone(t.Members), m)}
	slices.SortFunc(next.Members, compareMembers)
	return next
}

// Without returns the next table, with the members removed.
func (t Table) Without(ids ...string) Table {
	next := Table{Epoch: t.Epoch + 1}
	for _, m := range t.Members {
		if !slices.Contains(ids, m.ID) {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// Has reports whether the instance is a member.
func (t Table) Has(id string) bool {
	return slices.ContainsFunc(t.Members, func(m Member) bool { return m.ID == id })
}

// Slots returns how many of a target's slots a member may use.
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
	share, rest := slots/count, slots%count
	first := int(xxhash.Sum64String(target) % uint64(count))
	if (index-first+count)%count < rest {
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
		Epoch   int64        `json:"epoch"`
		Members []wireMember `json:"members"`
	}
)

// Encode returns the table as the store keeps it.
func Encode(t Table) ([]byte, error) {
	w := wireTable{Epoch: t.Epoch, Members: []wireMember{}}
	for _, m := range t.Members {
		w.Members = append(w.Members, wireMember(m))
	}
	return json.Marshal(w)
}

// Decode reads a table.
func Decode(text []byte) (Table, error) {
	var w wireTable
	if err := json.Unmarshal(text, &w); err != nil {
		return Table{}, fmt.Errorf("decode grant table: %w", err)
	}
	t := Table{Epoch: w.Epoch}
	for _, m := range w.Members {
		t.Members = append(t.Members, Member(m))
	}
	return t, nil
}
