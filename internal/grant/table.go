// Package grant divides the slots of each target among the entry instances of
// its region, so that no request needs a round of agreement and the sum never
// exceeds what the target holds.
//
// A Table names the members. The division is a pure function of the table and
// of the target, so that instances with different instance lists agree on it.
// Instances learn of a new table at different times; a Division bounds what one
// instance uses meanwhile, so that the sum over all instances stays exact.
//
// # Usage
//
//	table, err := grant.Decode(value)
//	d := grant.NewDivision("entry-1", "bajio")
//	d.Observe(table)
//	d.Report("entry-2", grant.Report{Epoch: table.Epoch})
//	n := d.Usable("runner-17", "bajio", 8)
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
	// Departed are former members that may still have requests in flight.
	Departed []Member
}

// With returns the next table, with the member added.
func (t Table) With(m Member) Table {
	next := Table{Epoch: t.Epoch + 1, Members: append(slices.Clone(t.Members), m), Departed: t.Departed}
	slices.SortFunc(next.Members, compareMembers)
	return next
}

// Without returns the next table, with the members departed.
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

// Forget returns the next table, without departed members that hold nothing any more.
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
func (t Table) Has(id string) bool { return has(t.Members, id) }

// HasDeparted reports whether the instance is a departed member.
func (t Table) HasDeparted(id string) bool { return has(t.Departed, id) }

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

// Owner returns the member of a region that a key belongs to, or "" if the region has none.
// A change of members moves only the keys of the members that changed.
func (t Table) Owner(key, region string) string {
	owner, best := "", uint64(0)
	for _, m := range t.Members {
		if m.Region != region {
			continue
		}
		if weight := weigh(key, m.ID); owner == "" || weight > best {
			owner, best = m.ID, weight
		}
	}
	return owner
}

// weigh returns the rendezvous weight of a member for a key.
func weigh(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

func has(list []Member, id string) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == id })
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
		Epoch    int64        `json:"epoch"`
		Members  []wireMember `json:"members"`
		Departed []wireMember `json:"departed,omitempty"`
	}
)

// Encode returns the table as the store keeps it.
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
	for _, m := range w.Departed {
		t.Departed = append(t.Departed, Member(m))
	}
	return t, nil
}
