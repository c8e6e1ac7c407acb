package scheduler

import (
	"fmt"
	"strings"
)

// The keys in the store that belong to no single cell.
const (
	// leaderPrefix is the prefix of all cells' leader keys; every node watches it.
	leaderPrefix = "pond/holder"
	bestShareKey = "pond/holder/best"
	// loadPrefix is the prefix under which the leaders publish the loads of their cells.
	loadPrefix = "pond/load/"
	// cancelSuffix is the end of each cancel's inbox key, after the job's id.
	cancelSuffix = "/cancel"
)

// CellsKey holds the number of cells in decimal digits. It is written once in the
// life of a deployment.
const CellsKey = "pond/holder/cells"

// ConfigCopyKey holds a copy of a large configuration (package replica). It is
// among the keys that every node watches, so that no node has to poll for it.
const ConfigCopyKey = "pond/holder/config"

// cancelValue is the value of a cancel's inbox key.
var cancelValue = []byte("{}")

// keys are one cell's keys in the store.
type keys struct {
	// leader is the key of the leader's id and address; it has the leader's lease.
	leader string
	// head is the key of the latest commit's stamp: its token and number.
	head string
	// learned is the key of the interference effects that the cell's leaders have measured.
	learned string
	// unresponsive is the key of the record of unresponsive workers.
	unresponsive string
	// terms is the key of the record of terms.
	terms string
	load  string
	// jobs and inbox are the prefixes of the keys of job records and of the inbox.
	jobs  string
	inbox string
}

// keysOfCell returns the keys of a cell. The first cell has the keys that
// deployments used before cells existed.
func keysOfCell(index int) keys {
	leader, base := leaderPrefix, "pond/"
	if index > 0 {
		leader, base = fmt.Sprintf("%s/%d", leaderPrefix, index), fmt.Sprintf("pond/cell/%d/", index)
	}
	return keys{
		leader: leader, head: base + "head", learned: base + "learned", unresponsive: base + "silent", terms: base + "terms",
		load: fmt.Sprintf("%s%d", loadPrefix, index), jobs: base + "job/", inbox: base + "inbox/",
	}
}

// delegationMark separates the job's id from the delegating cell and the delegation's
// number in the inbox key of a delegation.
const delegationMark = "/loan/"

// delegation returns the inbox key under which the cell with index from delegates tasks
// of a job; number tells its delegations of one job apart.
func (k keys) delegation(job string, from, number int) string {
	return fmt.Sprintf("%s%s%s%d-%d", k.inbox, job, delegationMark, from, number)
}

// parseInboxKey returns the job's id from an inbox key, and whether the key is that of a cancel.
// For a delegation, the id includes delegationMark and all after it.
func (k keys) parseInboxKey(key string) (id string, isCancel bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, k.inbox), cancelSuffix)
}
