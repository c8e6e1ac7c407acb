package home

import (
	"time"

	"github.com/google/uuid"
)

// timedVersion is the version of UUIDs that begin with a timestamp.
const timedVersion = 7

// TimeOf returns the timestamp of a key that is a UUID of version 7, and whether it is one.
func TimeOf(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != timedVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}
