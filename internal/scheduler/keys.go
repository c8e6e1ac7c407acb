package scheduler

import (
	"fmt"
	"strings"
)

// The keys in the store that belong to no cell.
const (
	// holderPrefix is where all cells name their holders; every node watches it.
	holderPrefix = "pond/holder"
	bestKey      = "pond/holder/best"
	// loadPrefix is where the holders tell what their cells can take in.
	loadPrefix = "pond/load/"
	// cancelSuffix marks the inbox key of a cancel.
	cancelSuffix = "/cancel"
)

// CellsKey holds the number of cells in decimal digits. It is written once in the
// life of a deployment.
const CellsKey = "pond/holder/cells"

// ConfigCopyKey holds a copy of a large configuration (package replica). It stands
// among the keys that every node watches, so that no node polls for it.
const ConfigCopyKey = "pond/holder/config"

// cancelValue is the value of a cancel's key.
var cancelValue = []byte("{}")

// keys are the keys in the store of one cell.
type keys struct {
	holder  string
	head    string
	learned string
	silent  string
	load    string
	jobs    string
	inbox   string
}

// keysOf returns the keys of a cell. Those of the first one are the keys that
// deployments used before they were divided.
func keysOf(index int) keys {
	holder, base := holderPrefix, "pond/"
	if index > 0 {
		holder, base = fmt.Sprintf("%s/%d", holderPrefix, index), fmt.Sprintf("pond/cell/%d/", index)
	}
	return keys{
		holder: holder, head: base + "head", learned: base + "learned", silent: base + "silent",
		load: fmt.Sprintf("%s%d", loadPrefix, index), jobs: base + "job/", inbox: base + "inbox/",
	}
}

// loanMark stands between the job and the number of a loan's inbox key.
const loanMark = "/loan/"

// loan returns the inbox key of a job's tasks that a cell lends.
func (k keys) loan(job string, from, number int) string {
	return fmt.Sprintf("%s%s%s%d-%d", k.inbox, job, loanMark, from, number)
}

// inboxID returns the job of an inbox key, and whether the key is that of a cancel.
func (k keys) inboxID(key string) (id string, isCancel bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, k.inbox), cancelSuffix)
}
