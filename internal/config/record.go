package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// Store key prefixes for accepted notes: RecordPrefix holds the records by revision, NotePrefix an
// index from note name to revision.
const (
	RecordPrefix = "/oriolepond/config/record/"
	NotePrefix   = "/oriolepond/config/note/"
)

// MaxRecords is the number of accepted notes whose records are kept in the store.
const MaxRecords = 10_000

// MaxHistory is the largest number of notes that History returns.
const MaxHistory = 200

func recordKey(revision int64) string { return fmt.Sprintf("%s%019d", RecordPrefix, revision) }

// record returns the record of the accepted note with the given name, and whether it exists.
func (k *Keeper) record(ctx context.Context, note string) (release.Record, bool, error) {
	e, ok, err := k.Store.Read(ctx, NotePrefix+note)
	if err != nil || !ok {
		return release.Record{}, false, err
	}
	var w wireNoteIndex
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return release.Record{}, false, fmt.Errorf("decode key of note %q: %w", note, err)
	}
	return k.recordAt(ctx, w.Revision)
}

// recordAt returns the record of the note accepted at a revision, and whether it exists.
func (k *Keeper) recordAt(ctx context.Context, revision int64) (release.Record, bool, error) {
	e, ok, err := k.Store.Read(ctx, recordKey(revision))
	if err != nil || !ok {
		return release.Record{}, false, err
	}
	r, err := decodeRecord(e.Value)
	return r, err == nil, err
}

// recordOps returns the store operations that add the record of a note, and delete the oldest
// record if there are more than MaxRecords.
func (k *Keeper) recordOps(ctx context.Context, r release.Record) ([]store.Op, error) {
	value, err := encodeRecord(r)
	if err != nil {
		return nil, err
	}
	indexValue, err := json.Marshal(wireNoteIndex{Revision: r.Revision})
	if err != nil {
		return nil, err
	}
	ops := []store.Op{store.Put(recordKey(r.Revision), value), store.Put(NotePrefix+r.Note, indexValue)}
	if r.Revision <= MaxRecords {
		return ops, nil
	}
	expired, ok, err := k.recordAt(ctx, r.Revision-MaxRecords)
	if err != nil || !ok {
		return ops, err
	}
	ops = append(ops, store.Delete(recordKey(expired.Revision)))
	if expired.Note != r.Note {
		ops = append(ops, store.Delete(NotePrefix+expired.Note))
	}
	return ops, nil
}

// History returns the last n accepted notes, newest first, but at most MaxHistory.
func (k *Keeper) History(ctx context.Context, n int) ([]release.Record, error) {
	h, _, err := k.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var records []release.Record
	for revision := h.Revision; revision > 0 && len(records) < min(n, MaxHistory); revision-- {
		r, ok, err := k.recordAt(ctx, revision)
		if err != nil {
			return nil, err
		}
		if !ok {
			break
		}
		records = append(records, r)
	}
	return records, nil
}

// Status returns the outcome of each entry of an accepted note.
func (k *Keeper) Status(ctx context.Context, note string) (release.Report, error) {
	r, ok, err := k.record(ctx, note)
	if err != nil {
		return release.Report{}, err
	}
	if !ok {
		return release.Report{}, &UnknownNoteError{Note: note}
	}
	return r.Report(k.Current(), k.LaggingInstances(ctx, r.Revision)), nil
}

type (
	wireNoteIndex struct {
		Revision int64 `json:"revision"`
	}
	wireRecord struct {
		Note     string      `json:"note"`
		Digest   string      `json:"digest"`
		Revision int64       `json:"revision"`
		Accepted time.Time   `json:"accepted"`
		Entries  []wireEntry `json:"entries"`
	}
	wireEntry struct {
		Action string `json:"action"`
		Kind   string `json:"kind"`
		Name   string `json:"name"`
	}
)

func encodeRecord(r release.Record) ([]byte, error) {
	w := wireRecord{Note: r.Note, Digest: r.Digest, Revision: r.Revision, Accepted: r.Accepted}
	for _, e := range r.Entries {
		w.Entries = append(w.Entries, wireEntry{Action: string(e.Action), Kind: string(e.Kind), Name: e.Name})
	}
	return json.Marshal(w)
}

func decodeRecord(text []byte) (release.Record, error) {
	var w wireRecord
	if err := json.Unmarshal(text, &w); err != nil {
		return release.Record{}, fmt.Errorf("decode record of a note: %w", err)
	}
	r := release.Record{Note: w.Note, Digest: w.Digest, Revision: w.Revision, Accepted: w.Accepted}
	for _, e := range w.Entries {
		r.Entries = append(r.Entries, release.Entry{Action: release.Action(e.Action), Kind: release.Kind(e.Kind), Name: e.Name})
	}
	return r, nil
}
