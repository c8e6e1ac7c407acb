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

// stored is a copy as it stands in the store.
type stored struct {
	// revision is that of the copy's key, original that of the version which was copied.
	revision int64
	original int64
	packed   []byte
}

const (
	// maxCopyBytes bounds an unpacked copy; a value of the store has at most a megabyte.
	maxCopyBytes = 1 << 20
	// publishTimeout bounds the writing of a copy.
	publishTimeout = time.Second
	// publishSpread is how much later a node that does not lead may publish: one of
	// them is enough, and the others hear of it.
	publishSpread = 300 * time.Millisecond
	// publishPause is the wait after a copy that could not be written.
	publishPause = 300 * time.Millisecond
)

const (
	// nearWait is how long a copy is waited for by a node beside the store: a leader
	// on a sixth of a core takes 200 ms to read, pack and write a megabyte.
	nearWait = 300 * time.Millisecond
	// distanceWeight has nodes that are far from the store wait longer: those
	// beside it read the document first, and publish it.
	distanceWeight = 20
	// longestWait leaves time to read the document within 2.5 s.
	longestWait = 1200 * time.Millisecond
	// waitSpread keeps nodes from reading the document at the same moment.
	waitSpread = 200 * time.Millisecond
)

// copyWait returns how long a node waits for a copy, by its distance from the store.
func copyWait(distance time.Duration) time.Duration {
	wait := nearWait + distanceWeight*distance + time.Duration(rand.Int64N(int64(waitSpread)))
	return min(wait, longestWait)
}

// UnreadableCopyError says that a copy cannot be used.
type UnreadableCopyError struct {
	Err error
}

// Error returns the cause.
func (e *UnreadableCopyError) Error() string { return fmt.Sprintf("unreadable copy: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnreadableCopyError) Unwrap() error { return e.Err }

// pack returns the value of a copy's key: the original's revision in a line, then the
// compressed document.
func pack(v version) ([]byte, error) {
	var out bytes.Buffer
	fmt.Fprintln(&out, v.revision)
	// The fastest level halves the processor time, and costs an eighth in size.
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

// decode reads what the copy's key tells of the original; with an error the copy
// is of nothing, so that the next one replaces it.
func decode(e store.Entry) (stored, error) {
	s := stored{revision: e.Revision}
	line, packed, _ := bytes.Cut(e.Value, []byte("\n"))
	original, err := strconv.ParseInt(string(line), 10, 64)
	if err != nil {
		return s, &UnreadableCopyError{Err: err}
	}
	if original <= 0 || original >= e.Revision {
		return s, &UnreadableCopyError{Err: fmt.Errorf("a copy of revision %d cannot be of %d", e.Revision, original)}
	}
	s.original, s.packed = original, packed
	return s, nil
}

// unpack returns the version that was copied.
func (s stored) unpack() (version, error) {
	z, err := gzip.NewReader(bytes.NewReader(s.packed))
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
	return version{revision: s.original, value: value}, nil
}

// ReceiveCopies takes entries among which the copy may be; all tells that there are
// no others, so that there is no copy if it is not among them.
func (d *Document) ReceiveCopies(entries []store.Entry, all bool) {
	for _, e := range entries {
		if e.Key != d.CopyKey {
			continue
		}
		s, err := decode(e)
		if err != nil {
			d.noteUnreadable(s, err)
		}
		d.set(func() {
			if s.revision > d.newest.revision {
				d.newest = s
			}
		})
	}
	if all {
		d.set(func() { d.listed = true })
	}
}

// noteUnreadable has the next copy replace one that cannot be used.
func (d *Document) noteUnreadable(s stored, err error) {
	d.Log.Emit(eventlog.RecordUnreadable, zap.String("key", d.CopyKey), zap.Int64("revision", s.revision), zap.Error(err))
	d.set(func() {
		if d.newest.revision == s.revision {
			d.newest = stored{revision: s.revision}
		}
	})
}

// start puts the copy in force if the store says that it is the newest version,
// so that many nodes which start at once need not all read the document.
func (d *Document) start(ctx context.Context) {
	d.await(ctx, startWait, func() bool { return d.listed })
	d.mu.Lock()
	s := d.newest
	d.mu.Unlock()
	if s.original == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	result, err := d.Client.Commit(bounded, store.Txn{If: []store.Condition{{Key: d.Key, Revision: s.original}}})
	switch {
	case err != nil:
		d.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "configuration"), zap.Error(err))
	case !result.Done:
		d.set(func() { d.next = s.original + 1 })
	default:
		v, err := s.unpack()
		if err != nil {
			d.noteUnreadable(s, err)
			return
		}
		d.take(v, FromCopy, max(result.Revision, s.original))
	}
}

// adopt takes copies of newer versions.
func (d *Document) adopt(ctx context.Context) error {
	for ctx.Err() == nil {
		var s stored
		isNew := func() bool {
			s = d.newest
			return d.floor > 0 && s.original >= d.floor && s.original > d.revision
		}
		if !d.await(ctx, longestPoll, isNew) {
			continue
		}
		v, err := s.unpack()
		if err != nil {
			d.noteUnreadable(s, err)
			continue
		}
		d.take(v, FromCopy, 0)
	}
	return nil
}

// publish writes a copy of each large version that this node read from the store.
func (d *Document) publish(ctx context.Context) error {
	for ctx.Err() == nil {
		var (
			v     version
			known stored
		)
		isNew := func() bool {
			v, known = d.original, d.newest
			return d.listed && v.revision > known.original
		}
		if !d.await(ctx, longestPoll, isNew) {
			continue
		}
		if !d.IsLeader() && d.await(ctx, rand.N(publishSpread), func() bool { return d.newest.original >= v.revision }) {
			continue
		}
		if err := d.write(ctx, v, known.revision); err != nil {
			d.Log.Emit(eventlog.ConfigCopyFailed, zap.Int64("revision", v.revision), zap.Error(err))
			sleep(ctx, publishPause)
		}
	}
	return nil
}

// write writes a copy in place of the one that the node knows.
func (d *Document) write(ctx context.Context, v version, known int64) error {
	packed, err := pack(v)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	result, err := d.Client.Commit(bounded, store.Txn{
		If: []store.Condition{{Key: d.CopyKey, Revision: known}}, Then: []store.Op{store.Put(d.CopyKey, packed)},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		// Another node was first; its copy comes with the keys beside it.
		d.await(ctx, publishPause, func() bool { return d.newest.revision > known })
		return nil
	}
	d.ReceiveCopies([]store.Entry{{Key: d.CopyKey, Value: packed, Revision: result.Revision}}, false)
	d.Log.Emit(eventlog.ConfigCopied, zap.Int64("revision", v.revision), zap.Int("bytes", len(packed)))
	return nil
}
