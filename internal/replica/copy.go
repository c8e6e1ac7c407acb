package replica

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// storedCopy is the published copy of a version, as last read from the store.
type storedCopy struct {
	// revision is the revision of the copy's key, originalRevision that of the copied version.
	revision         int64
	originalRevision int64
	compressed       []byte
}

const (
	// maxCopyBytes bounds a decompressed copy; the store limits a value to one megabyte.
	maxCopyBytes = 1 << 20
	// publishTimeout bounds the write of a copy.
	publishTimeout = time.Second
	// publishJitter bounds the random delay before a node that isn't a leader publishes
	// a copy: one publisher is enough, and the others see its copy meanwhile.
	publishJitter = 300 * time.Millisecond
	// publishRetryInterval is the wait after a failed write of a copy.
	publishRetryInterval = 300 * time.Millisecond
)

const (
	// minCopyWait is how long a node next to the store waits for a copy: a leader
	// on a sixth of a core takes 200 ms to read, compress and write a megabyte.
	minCopyWait = 300 * time.Millisecond
	// copyWaitRTTFactor is the number of round-trip times to the store by which a node waits
	// longer: nodes next to the store read the document first and publish it.
	copyWaitRTTFactor = 20
	// maxCopyWait leaves enough time to read the document itself within 2.5 s.
	maxCopyWait = 1200 * time.Millisecond
	// copyWaitJitter keeps nodes from reading the document at the same moment.
	copyWaitJitter = 200 * time.Millisecond
)

// copyWait returns how long a node waits for a copy, by its round-trip time to the store.
func copyWait(rtt time.Duration) time.Duration {
	wait := minCopyWait + copyWaitRTTFactor*rtt + time.Duration(rand.Int64N(int64(copyWaitJitter)))
	return min(wait, maxCopyWait)
}

// UnreadableCopyError means that a copy is malformed or too large.
type UnreadableCopyError struct {
	Err error
}

// Error returns the cause.
func (e *UnreadableCopyError) Error() string { return fmt.Sprintf("unreadable copy: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnreadableCopyError) Unwrap() error { return e.Err }

// encodeCopy returns the value of a copy's key: a line with the original's
// revision, then the compressed document.
func encodeCopy(v version) ([]byte, error) {
	var out bytes.Buffer
	fmt.Fprintln(&out, v.revision)
	// The fastest level halves the CPU time, and makes the copy an eighth larger.
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(v.value); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeCopy reads the header of a copy. On an error the returned copy has no
// original revision, so that the next publisher replaces it.
func decodeCopy(e store.Entry) (storedCopy, error) {
	s := storedCopy{revision: e.Revision}
	line, packed, _ := bytes.Cut(e.Value, []byte("\n"))
	original, err := strconv.ParseInt(string(line), 10, 64)
	if err != nil {
		return s, &UnreadableCopyError{Err: err}
	}
	if original <= 0 || original >= e.Revision {
		return s, &UnreadableCopyError{Err: fmt.Errorf("a copy at revision %d cannot be of revision %d", e.Revision, original)}
	}
	s.originalRevision, s.compressed = original, packed
	return s, nil
}

// decompress returns the version that was copied.
func (s storedCopy) decompress() (version, error) {
	z, err := gzip.NewReader(bytes.NewReader(s.compressed))
	if err != nil {
		return version{}, &UnreadableCopyError{Err: err}
	}
	value, err := io.ReadAll(io.LimitReader(z, maxCopyBytes+1))
	if err == nil && len(value) > maxCopyBytes {
		err = fmt.Errorf("more than %d bytes", maxCopyBytes)
	}
	if err != nil {
		return version{}, &UnreadableCopyError{Err: err}
	}
	return version{revision: s.originalRevision, value: value}, nil
}

// ReceiveCopies records the copy if it is among the entries. listed means that all watched
// keys have been delivered by now: if the copy was not among them, there is none.
func (d *Document) ReceiveCopies(entries []store.Entry, listed bool) {
	for _, e := range entries {
		if e.Key != d.CopyKey {
			continue
		}
		s, err := decodeCopy(e)
		if err != nil {
			d.discardCopy(s, err)
		}
		d.update(func() {
			if s.revision > d.newestCopy.revision {
				d.newestCopy = s
			}
		})
	}
	if listed {
		d.update(func() { d.keysListed = true })
	}
}

// discardCopy forgets an unusable copy but keeps the revision of its key, so that
// the next publisher can replace it.
func (d *Document) discardCopy(s storedCopy, err error) {
	d.Log.Emit(eventlog.RecordUnreadable, zap.String("key", d.CopyKey), zap.Int64("revision", s.revision), zap.Error(err))
	d.update(func() {
		if d.newestCopy.revision == s.revision {
			d.newestCopy = storedCopy{revision: s.revision}
		}
	})
}

// applyCopyAtStart applies the copy if the store confirms that it is the newest
// version, so that many nodes starting at once need not all read the document.
func (d *Document) applyCopyAtStart(ctx context.Context) {
	d.waitFor(ctx, startCopyWait, func() bool { return d.keysListed })
	d.mu.Lock()
	s := d.newestCopy
	d.mu.Unlock()
	if s.originalRevision == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	result, err := d.Client.Commit(bounded, store.Txn{If: []store.Condition{{Key: d.Key, Revision: s.originalRevision}}})
	switch {
	case err != nil:
		d.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "configuration"), zap.Error(err))
	case !result.Done:
		d.update(func() { d.nextRevision = s.originalRevision + 1 })
	default:
		v, err := s.decompress()
		if err != nil {
			d.discardCopy(s, err)
			return
		}
		d.apply(v, FromCopy, max(result.Revision, s.originalRevision))
	}
}

// applyCopies applies each copy of a version newer than the one in force.
func (d *Document) applyCopies(ctx context.Context) error {
	for ctx.Err() == nil {
		var s storedCopy
		isNew := func() bool {
			s = d.newestCopy
			return d.minCopyRevision > 0 && s.originalRevision >= d.minCopyRevision && s.originalRevision > d.appliedRevision
		}
		if !d.waitFor(ctx, maxPollWait, isNew) {
			continue
		}
		v, err := s.decompress()
		if err != nil {
			d.discardCopy(s, err)
			continue
		}
		d.apply(v, FromCopy, 0)
	}
	return nil
}

// publishCopies publishes a copy of each large version that this node read from the store.
func (d *Document) publishCopies(ctx context.Context) error {
	for ctx.Err() == nil {
		var (
			v         version
			knownCopy storedCopy
		)
		isNew := func() bool {
			v, knownCopy = d.lastLarge, d.newestCopy
			return d.keysListed && v.revision > knownCopy.originalRevision
		}
		if !d.waitFor(ctx, maxPollWait, isNew) {
			continue
		}
		if !d.IsLeader() && d.waitFor(ctx, rand.N(publishJitter), func() bool { return d.newestCopy.originalRevision >= v.revision }) {
			continue
		}
		if err := d.writeCopy(ctx, v, knownCopy.revision); err != nil {
			d.Log.Emit(eventlog.ConfigCopyFailed, zap.Int64("revision", v.revision), zap.Error(err))
			sleep(ctx, publishRetryInterval)
		}
	}
	return nil
}

// writeCopy publishes a copy if the copy's key is still at the known revision.
func (d *Document) writeCopy(ctx context.Context, v version, knownRevision int64) error {
	packed, err := encodeCopy(v)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	result, err := d.Client.Commit(bounded, store.Txn{
		If: []store.Condition{{Key: d.CopyKey, Revision: knownRevision}}, Then: []store.Op{store.Put(d.CopyKey, packed)},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		// Another node published first; its copy arrives with the watched keys.
		d.waitFor(ctx, publishRetryInterval, func() bool { return d.newestCopy.revision > knownRevision })
		return nil
	}
	d.ReceiveCopies([]store.Entry{{Key: d.CopyKey, Value: packed, Revision: result.Revision}}, false)
	d.Log.Emit(eventlog.ConfigCopied, zap.Int64("revision", v.revision), zap.Int("bytes", len(packed)))
	return nil
}
