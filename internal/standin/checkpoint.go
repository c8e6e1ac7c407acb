package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// encodeCheckpoint returns a checkpoint that names its origin and its progress.
func encodeCheckpoint(task string, incarnation int64, done time.Duration) string {
	return fmt.Sprintf("%s/%d/%s", task, incarnation, done)
}

// decodeCheckpoint returns the progress of a checkpoint, or none.
func decodeCheckpoint(c string) time.Duration {
	i := strings.LastIndexByte(c, '/')
	d, err := time.ParseDuration(c[i+1:])
	if err != nil {
		return 0
	}
	return d
}

// checkpointIncarnation returns the incarnation that made a checkpoint, or 0.
func checkpointIncarnation(c string) int64 {
	parts := strings.Split(c, "/")
	if len(parts) < 3 {
		return 0
	}
	n, err := strconv.ParseInt(parts[len(parts)-2], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
