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

// maxCommitBytes bounds the chunks of one commit, below the store's limit of a value.
const maxCommitBytes = 768 << 10

// The bounds of the wait between tries to apply a note.
const (
	minApplyRetry = 20 * time.Millisecond
	maxApplyRetry = time.Second
)

var (
	acceptedTotal = metrics.GetOrCreateCounter("oriolepond_config_notes_accepted_total")
	refusedTotal  = metrics.GetOrCreateCounter("oriolepond_config_notes_refused_total")
	conflictTotal = metrics.GetOrCreateCounter("oriolepond_config_conflicts_total")
)

// errRaced says that another note moved the head during a try.
var errRaced = errors.New("another note was accepted at the same time")

// Apply applies a note to the newest configuration in the store and repeats
// that until the outcome is known or the context ends; then the same note may
// be applied again, for one of the same name and content takes effect once.
//
// Since is the revision that the operator looked at, or zero for the newest.
// Notes accepted since then are passed over if they touch other entries; else
// the error is a *ConflictError.
func (k *Keeper) Apply(ctx context.Context, n release.Note, since int64) (release.Report, error) {
	a := &application{keeper: k, note: n, since: since}
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
	k.count(n, report, err)
	return report, err
}

func (k *Keeper) count(n release.Note, report release.Report, err error) {
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

// application is one call of Apply.
type application struct {
	keeper *Keeper
	note   release.Note
	digest string
	since  int64
	// based means that since is set.
	based bool
}

// try makes one try; an error that is not permanent is tried again.
func (a *application) try(ctx context.Context) (release.Report, error) {
	report, err := a.once(ctx)
	var unavailable *store.UnavailableError
	var missing *MissingChunkError
	if err == nil || errors.Is(err, errRaced) || errors.As(err, &unavailable) || errors.As(err, &missing) {
		return report, err
	}
	return report, backoff.Permanent(err)
}

func (a *application) once(ctx context.Context) (release.Report, error) {
	r, known, err := a.keeper.record(ctx, a.note.Name)
	if err != nil {
		return release.Report{}, err
	}
	if known {
		return a.repeat(r)
	}
	base, revision, err := a.base(ctx)
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

// repeat answers a note that was accepted before.
func (a *application) repeat(r release.Record) (release.Report, error) {
	if r.Digest != a.digest {
		return release.Report{}, &NameTakenError{Note: r.Note, Revision: r.Revision}
	}
	return r.Report(a.keeper.Current(), nil), nil
}

// base returns the newest configuration in the store and the revision of the head's key.
func (a *application) base(ctx context.Context) (Snapshot, int64, error) {
	// The copy is taken first: one that is adopted while the head is read may be newer.
	have := a.keeper.Snapshot()
	h, revision, err := a.keeper.head(ctx)
	if err != nil {
		return Snapshot{}, 0, err
	}
	if h.Revision < have.head.Revision {
		return Snapshot{}, 0, &StaleStoreError{Head: h.Revision, InForce: have.head.Revision}
	}
	values, err := a.keeper.load(ctx, h, have.values)
	if err != nil {
		return Snapshot{}, 0, err
	}
	if !a.based && a.since == 0 {
		a.since = h.Revision
	}
	a.based = true
	base, err := newCopy(h, values, have)
	return base, revision, err
}

// head returns the store's head and the revision of its key.
func (k *Keeper) head(ctx context.Context) (Head, int64, error) {
	e, ok, err := k.Store.Read(ctx, HeadKey)
	if err != nil || !ok {
		return Head{}, 0, err
	}
	h, err := decodeHead(e.Value)
	return h, e.Revision, err
}

// commit writes the next configuration if the head is still as it was read.
func (a *application) commit(ctx context.Context, base Snapshot, revision int64, next release.Config) (release.Report, error) {
	r := release.Record{
		Note: a.note.Name, Digest: a.digest, Revision: next.Revision,
		Accepted: a.keeper.now().UTC(), Entries: a.note.Entries(),
	}
	c, err := copyOf(next, a.note.Name, base)
	if err != nil {
		return release.Report{}, err
	}
	ops, err := a.ops(base, c)
	if err != nil {
		return release.Report{}, err
	}
	records, err := a.keeper.recordOps(ctx, r)
	if err != nil {
		return release.Report{}, err
	}
	result, err := a.keeper.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: HeadKey, Revision: revision}, {Key: NotePrefix + a.note.Name}},
		Then: append(ops, records...),
	})
	if err != nil {
		return release.Report{}, err
	}
	if !result.Done {
		return release.Report{}, errRaced
	}
	a.keeper.Set(c)
	return r.Report(next, nil), nil
}

// ops returns the writes that turn one copy in the store into the next.
func (a *application) ops(base, next Snapshot) ([]store.Op, error) {
	value, err := encodeHead(next.head)
	if err != nil {
		return nil, err
	}
	ops := []store.Op{store.Put(HeadKey, value)}
	size := 0
	for hash, chunk := range next.values {
		if _, there := base.values[hash]; !there {
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
