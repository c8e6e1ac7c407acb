package operate

import (
	"cmp"
	"slices"

	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/shard"
)

// Account is the usage of one share by its tasks and by its requests.
type Account struct {
	shard.Account
	meter.Traffic
}

// JoinAccounts returns the accounts of all shares that ran tasks or served requests,
// sorted by neighbour and share.
func JoinAccounts(tasks []shard.Account, counts meter.Counts) []Account {
	rows := map[meter.Payer]Account{}
	for _, a := range tasks {
		rows[meter.Payer{Neighbour: a.Neighbour, Share: a.Share}] = Account{Account: a}
	}
	for p, u := range counts {
		row := rows[p]
		row.Neighbour, row.Share, row.Traffic = p.Neighbour, p.Share, u
		rows[p] = row
	}
	all := make([]Account, 0, len(rows))
	for _, row := range rows {
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b Account) int {
		return cmp.Or(cmp.Compare(a.Neighbour, b.Neighbour), cmp.Compare(a.Share, b.Share))
	})
	return all
}
