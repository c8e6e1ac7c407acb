package config

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// maxCommitBytes is the largest total size of the chunks that one commit may write. It is below the
// store's limit for a value.
const maxCommitBytes = 768 << 10

// Bounds of the exponential backoff between attempts to apply a note.
const (
	minApplyRetry = 20 * time.Millisecond
	maxApplyRetry = time.Second
)

var (
	acceptedTotal = metrics.GetOrCreateCounter("oriolepond_config_notes_accepted_total")
	refusedTotal  = metrics.GetOrCreateCounter("oriolepond_config_notes_refused_total")
	conflictTotal = metrics.GetOrCreateCounter("oriolepond_config_conflicts_total")
)

// errConcurrentNote reports that another note changed the head key in the store during an attempt.
var errConcurrentNote = errors.New("another note was accepted at the same time")

// Apply applies a note to the newest configuration in the store and retries until the outcome is
// known or the context ends. It is safe to repeat the call after an error: a note with the same
// name and content takes effect once.
//
// Since is the revision that the note was written against, or zero for the newest. Notes accepted
// after it are no obstacle if they changed other declarations; otherwise the error is a
// *ConflictError.
func (k *Keeper) Apply(ctx context.Context, n release.Note, since int64) (release.Report, error) {
	a := &applyCall{keeper: k, note: n, since: since}
	var err error
	if a.digest, err = n.Digest(); err != nil {
		return release.Report{}, err
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minApplyRetry
	wait.MaxInterval = maxApplyRetry
	report, err := backoff.Retry(ctx, func() (release.Report, error) {
		return a.try(ctx)
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	k.recordOutcome(n, report, err)
	return report, err
}

// recordOutcome counts and logs the outcome of a call of Apply.
func (k *Keeper) recordOutcome(n release.Note, report release.Report, err error) {
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		conflictTotal.Inc()
		k.Log.Emit(eventlog.NoteConflict, zap.String("note", n.Name))
	case err != nil:
	case report.Refused():
		refusedTotal.Inc()
		k.Log.Emit(eventlog.NoteRefused, zap.String("note", n.Name))
	default:
		acceptedTotal.Inc()
		k.Log.Emit(eventlog.NoteAccepted, zap.String("note", n.Name), zap.Int64("revision", report.Revision))
	}
}

// applyCall is the state of one call of Apply across its attempts.
type applyCall struct {
	keeper *Keeper
	note   release.Note
	digest string
	since  int64
	// sinceSet reports whether since has its final value: that of the caller, or the revision of
	// the first head that was read.
	sinceSet bool
}

// try makes one attempt. Errors that another attempt may overcome are returned as they are, all
// others as permanent.
func (a *applyCall) try(ctx context.Context) (release.Report, error) {
	report, err := a.applyOnce(ctx)
	var unavailable *store.UnavailableError
	var missing *MissingChunkError
	if err == nil || errors.Is(err, errConcurrentNote) || errors.As(err, &unavailable) || errors.As(err, &missing) {
		return report, err
	}
	return report, backoff.Permanent(err)
}

// applyOnce applies the note to the configuration that the store holds now, or reports the outcome
// if the note was accepted before.
func (a *applyCall) applyOnce(ctx context.Context) (release.Report, error) {
	// Take the snapshot before reading the head. One that comes into force during the read
	// could be newer than the head, and the store would be reported as stale.
	current := a.keeper.Snapshot()
	h, revision, err := a.keeper.readHead(ctx)
	if err != nil {
		return release.Report{}, err
	}
	// The record is read after the head: a head that contains the note comes with its record.
	r, known, err := a.keeper.record(ctx, a.note.Name)
	if err != nil {
		return release.Report{}, err
	}
	if known {
		return a.reportAccepted(r)
	}
	base, err := a.loadBase(ctx, h, current)
	if err != nil {
		return release.Report{}, err
	}
	if conflicts := release.Conflicts(base.config, a.note, a.since); len(conflicts) > 0 {
		return release.Report{}, &ConflictError{Note: a.note.Name, Conflicts: conflicts}
	}
	next, report := release.Apply(base.config, a.note)
	if report.Refused() {
		return report, nil
	}
	return a.commit(ctx, base, revision, next)
}

// reportAccepted returns the report of a note that was accepted before, or a *NameTakenError if its
// content differs.
func (a *applyCall) reportAccepted(r release.Record) (release.Report, error) {
	if r.Digest != a.digest {
		return release.Report{}, &NameTakenError{Note: r.Note, Revision: r.Revision}
	}
	return r.Report(a.keeper.Current(), nil), nil
}

// loadBase returns the configuration of the store's head.
func (a *applyCall) loadBase(ctx context.Context, h Head, current Snapshot) (Snapshot, error) {
	if h.Revision < current.head.Revision {
		return Snapshot{}, &StaleStoreError{Head: h.Revision, InForce: current.head.Revision}
	}
	values, err := a.keeper.loadChunks(ctx, h, current.values)
	if err != nil {
		return Snapshot{}, err
	}
	if !a.sinceSet && a.since == 0 {
		a.since = h.Revision
	}
	a.sinceSet = true
	return snapshotFromChunks(h, values, current)
}

// readHead returns the head in the store and the store's revision of its key.
func (k *Keeper) readHead(ctx context.Context) (Head, int64, error) {
	e, ok, err := k.Store.Read(ctx, HeadKey)
	if err != nil || !ok {
		return Head{}, 0, err
	}
	h, err := decodeHead(e.Value)
	return h, e.Revision, err
}

// commit writes the next configuration if the head has not changed since it was read, and puts it
// in force on this instance.
func (a *applyCall) commit(ctx context.Context, base Snapshot, revision int64, next release.Config) (release.Report, error) {
	r := release.Record{
		Note: a.note.Name, Digest: a.digest, Revision: next.Revision,
		Accepted: a.keeper.now().UTC(), Entries: a.note.Entries(),
	}
	s, err := snapshotFromConfig(next, a.note.Name, base)
	if err != nil {
		return release.Report{}, err
	}
	ops, err := a.commitOps(base, s)
	if err != nil {
		return release.Report{}, err
	}
	recordOps, err := a.keeper.recordOps(ctx, r)
	if err != nil {
		return release.Report{}, err
	}
	result, err := a.keeper.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: HeadKey, Revision: revision}, {Key: NotePrefix + a.note.Name}},
		Then: append(ops, recordOps...),
	})
	if err != nil {
		return release.Report{}, err
	}
	if !result.Done {
		return release.Report{}, errConcurrentNote
	}
	a.keeper.Set(s)
	return r.Report(next, nil), nil
}

// commitOps returns the store operations that replace the base snapshot by the next one: the head,
// the new chunks, and deletions of chunks that are no longer used.
func (a *applyCall) commitOps(base, next Snapshot) ([]store.Op, error) {
	value, err := encodeHead(next.head)
	if err != nil {
		return nil, err
	}
	ops := []store.Op{store.Put(HeadKey, value)}
	size := 0
	for hash, chunk := range next.values {
		if _, inBase := base.values[hash]; !inBase {
			ops = append(ops, store.Put(ChunkPrefix+hash, chunk))
			size += len(chunk)
		}
	}
	for hash := range base.values {
		if _, kept := next.values[hash]; !kept {
			ops = append(ops, store.Delete(ChunkPrefix+hash))
		}
	}
	if size > maxCommitBytes {
		return nil, &TooLargeError{Note: a.note.Name, Bytes: size, Limit: maxCommitBytes}
	}
	return ops, nil
}
