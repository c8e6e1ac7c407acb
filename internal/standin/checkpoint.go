package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// encodeCheckpoint returns a checkpoint that contains the task, the incarnation that
// made it, and the task's progress.
func encodeCheckpoint(task string, incarnation int64, progress time.Duration) string {
	return fmt.Sprintf("%s/%d/%s", task, incarnation, progress)
}

// decodeCheckpoint returns the progress in a checkpoint, or 0 if the checkpoint is empty or malformed.
func decodeCheckpoint(checkpoint string) time.Duration {
	i := strings.LastIndexByte(checkpoint, '/')
	d, err := time.ParseDuration(checkpoint[i+1:])
	if err != nil {
		return 0
	}
	return d
}

// checkpointIncarnation returns the incarnation that made a checkpoint, or 0 if the
// checkpoint is empty or malformed.
func checkpointIncarnation(checkpoint string) int64 {
	parts := strings.Split(checkpoint, "/")
	if len(parts) < 3 {
		return 0
	}
	n, err := strconv.ParseInt(parts[len(parts)-2], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
