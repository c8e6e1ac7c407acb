package journal

import (
	"context"
	"fmt"
	"strings"

	"github.com/oriolepond/oriolepond/internal/store"
)

const (
	// segmentBytes is the size at which a segment is closed. Every commit writes the open segment
	// anew, so this bounds the bytes of an ordinary commit.
	segmentBytes = 8 << 10
	// maxValueBytes bounds one value. It stays below the store's limit of 1 MB.
	maxValueBytes = 512 << 10
	// maxSegments bounds the segments between two snapshots. It stays below the store's limit on
	// the operations of one commit.
	maxSegments = 64
	// minCompactBytes is the least length of the log at which a snapshot is worth its writes.
	minCompactBytes = 64 << 10
	// maxDeletesPerCommit bounds the deletions of one commit.
	maxDeletesPerCommit = 100
)

// FencedError reports that another leader has taken over the shard. Nothing was written.
type FencedError struct {
	Key string
}

// Error returns a message that names the key of the fence.
func (e *FencedError) Error() string {
	return fmt.Sprintf("journal: %s was taken over by another leader", e.Key)
}

// CorruptError reports that a key of the journal is missing or cannot be decoded.
type CorruptError struct {
	Key    string
	Reason string
}

// Error returns a message with the key and the reason.
func (e *CorruptError) Error() string { return fmt.Sprintf("journal: %s: %s", e.Key, e.Reason) }

// Log is the journal of one shard. Only the shard's leader writes it. Its methods must be called
// from one goroutine.
type Log struct {
	Store  *store.Client
	Writer *store.Writer
	// Prefix is the common prefix of the journal's keys in the store. It ends in a slash.
	Prefix string
	// Fence is the condition of every write: the leader's key still has the revision that this
	// leader wrote.
	Fence store.Condition

	// open is the content of the open segment, to which the next batch is appended. number is the
	// number of that segment.
	open   []byte
	number int64
	// segmentKeys are the keys of the log's segments, and snapshotKeys those of the snapshot's
	// values.
	segmentKeys   []string
	snapshotKeys  []string
	logBytes      int
	snapshotBytes int
	// failed is the error of a commit. It may have taken effect, so that what the log holds is not known.
	failed error
}

// segmentKey returns the key of a segment. Keys sort by number. A snapshot is named by the number
// of the first segment after it, so one commit can switch to a new snapshot and delete the segments
// that it replaces.
func (l *Log) segmentKey(n int64) string { return fmt.Sprintf("%slog/%016d", l.Prefix, n) }

func (l *Log) snapshotKey(n int64, index int) string {
	return fmt.Sprintf("%ssnapshot/%016d/%04d", l.Prefix, n, index)
}

// headKey is the key that names the current snapshot and the number of its values.
func (l *Log) headKey() string { return l.Prefix + "head" }

// Load returns all batches: first those of the snapshot, then those of the log, in the order in
// which they were appended. It also deletes what incomplete snapshots left behind.
func (l *Log) Load(ctx context.Context) ([]Batch, error) {
	l.failed = nil
	s, err := l.Store.List(ctx, l.Prefix)
	if err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	for _, e := range s.Entries {
		values[e.Key] = e.Value
	}
	var first int64
	var count int
	if head, ok := values[l.headKey()]; ok {
		if _, err := fmt.Sscanf(string(head), "%d %d", &first, &count); err != nil {
			return nil, &CorruptError{Key: l.headKey(), Reason: err.Error()}
		}
	}
	var batches []Batch
	l.segmentKeys, l.snapshotKeys, l.logBytes, l.snapshotBytes, l.open = nil, nil, 0, 0, nil
	for index := range count {
		key := l.snapshotKey(first, index)
		value, ok := values[key]
		if !ok {
			return nil, &CorruptError{Key: key, Reason: "key is missing"}
		}
		l.snapshotKeys = append(l.snapshotKeys, key)
		l.snapshotBytes += len(value)
		if batches, err = appendBatch(batches, value); err != nil {
			return nil, &CorruptError{Key: key, Reason: err.Error()}
		}
	}
	l.number = first
	for ; ; l.number++ {
		key := l.segmentKey(l.number)
		value, ok := values[key]
		if !ok {
			break
		}
		l.segmentKeys = append(l.segmentKeys, key)
		l.logBytes += len(value)
		if batches, err = appendBatch(batches, value); err != nil {
			return nil, &CorruptError{Key: key, Reason: err.Error()}
		}
	}
	return batches, l.discardIncomplete(ctx, s)
}

func appendBatch(to []Batch, text []byte) ([]Batch, error) {
	b, err := Decode(text)
	if err != nil {
		return nil, err
	}
	return append(to, b), nil
}

// discardIncomplete deletes the values of snapshots that were never completed.
func (l *Log) discardIncomplete(ctx context.Context, s store.Snapshot) error {
	kept := map[string]bool{}
	for _, key := range l.snapshotKeys {
		kept[key] = true
	}
	var unused []string
	for _, e := range s.Entries {
		if strings.HasPrefix(e.Key, l.Prefix+"snapshot/") && !kept[e.Key] {
			unused = append(unused, e.Key)
		}
	}
	return l.remove(ctx, unused)
}

// remove deletes keys in commits of bounded size.
func (l *Log) remove(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), maxDeletesPerCommit)
		var ops []store.Op
		for _, key := range keys[:n] {
			ops = append(ops, store.Delete(key))
		}
		if err := l.commit(ctx, ops); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

// Append commits a batch. It returns once the outcome is known or the context ends. After an error, the
// log accepts no further changes until it is loaded again.
func (l *Log) Append(ctx context.Context, b Batch) error {
	text, err := Encode(b)
	if err != nil {
		return fmt.Errorf("encode journal: %w", err)
	}
	next := append(append([]byte(nil), l.open...), text...)
	if len(next) > maxValueBytes && len(l.open) > 0 {
		l.close()
		next = text
	}
	if len(next) > maxValueBytes {
		return l.appendLarge(ctx, b)
	}
	if err := l.commit(ctx, []store.Op{store.Put(l.segmentKey(l.number), next)}); err != nil {
		return err
	}
	l.recordOpen(next, len(next)-len(l.open))
	if len(next) > segmentBytes {
		l.close()
	}
	return nil
}

// recordOpen records that the open segment now has this value, which is grown bytes longer than
// before.
func (l *Log) recordOpen(value []byte, grown int) {
	if len(l.open) == 0 {
		l.segmentKeys = append(l.segmentKeys, l.segmentKey(l.number))
	}
	l.open = value
	l.logBytes += grown
}

// close closes the open segment, so that the next batch begins a new one.
func (l *Log) close() {
	if len(l.open) > 0 {
		l.number++
	}
	l.open = nil
}

// appendLarge commits a batch that is too large for one value as several segments, in one commit.
func (l *Log) appendLarge(ctx context.Context, b Batch) error {
	l.close()
	values, err := split(b)
	if err != nil {
		return err
	}
	var ops []store.Op
	for i, value := range values {
		ops = append(ops, store.Put(l.segmentKey(l.number+int64(i)), value))
	}
	if err := l.commit(ctx, ops); err != nil {
		return err
	}
	for _, value := range values {
		l.recordOpen(value, len(value))
		l.close()
	}
	return nil
}

// split encodes a batch as several values, each below the store's limit on one value.
func split(b Batch) ([][]byte, error) {
	text, err := Encode(b)
	if err != nil {
		return nil, fmt.Errorf("encode journal: %w", err)
	}
	if len(text) <= maxValueBytes || b.Len() == 1 {
		return [][]byte{text}, nil
	}
	first, rest := b.cut(b.Len() / 2)
	left, err := split(first)
	if err != nil {
		return nil, err
	}
	right, err := split(rest)
	return append(left, right...), err
}

// NeedsCompaction reports whether the log has grown larger than the snapshot and minCompactBytes,
// or to the limit on segments.
func (l *Log) NeedsCompaction() bool {
	return len(l.segmentKeys) >= maxSegments || l.logBytes > max(minCompactBytes, l.snapshotBytes)
}

// Compact replaces the snapshot and the log by a new snapshot of the given state, which must be the
// result of all batches that were appended. The old snapshot and log stay valid until the commit
// that writes the head key.
func (l *Log) Compact(ctx context.Context, state Batch) error {
	if len(l.segmentKeys) == 0 {
		return nil
	}
	values, err := split(state)
	if err != nil {
		return err
	}
	l.close()
	var keys []string
	size := 0
	for i, value := range values {
		key := l.snapshotKey(l.number, i)
		if err := l.commit(ctx, []store.Op{store.Put(key, value)}); err != nil {
			return err
		}
		keys = append(keys, key)
		size += len(value)
	}
	old := append(l.snapshotKeys, l.segmentKeys...)
	deleted := old[:min(len(old), maxDeletesPerCommit)]
	ops := []store.Op{store.Put(l.headKey(), fmt.Appendf(nil, "%d %d", l.number, len(keys)))}
	for _, key := range deleted {
		ops = append(ops, store.Delete(key))
	}
	if err := l.commit(ctx, ops); err != nil {
		return err
	}
	l.snapshotKeys, l.segmentKeys, l.logBytes, l.snapshotBytes = keys, nil, 0, size
	return l.remove(ctx, old[len(deleted):])
}

// commit writes under the fence. It returns a *FencedError if another leader has taken over.
func (l *Log) commit(ctx context.Context, ops []store.Op) error {
	if l.failed != nil {
		return l.failed
	}
	result, err := l.Writer.Commit(ctx, store.Txn{If: []store.Condition{l.Fence}, Then: ops})
	if err == nil && !result.Done {
		err = &FencedError{Key: l.Fence.Key}
	}
	l.failed = err
	return err
}
