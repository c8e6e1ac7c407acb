package config

import (
	"fmt"
	"strings"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// ConflictError reports that a note changes declarations that other notes have changed since the
// revision that it was written against.
type ConflictError struct {
	Note      string
	Conflicts []release.Conflict
}

// Error returns one line for each conflict.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "release note %q meets other notes:", e.Note)
	for _, c := range e.Conflicts {
		fmt.Fprintf(&b, "\n%v: touched by note %q, revision %d", c.Entry, c.Other, c.Revision)
	}
	return b.String()
}

// NameTakenError reports that a note with the same name but other content was accepted before.
type NameTakenError struct {
	Note     string
	Revision int64
}

// Error names the note and the revision at which the other one was accepted.
func (e *NameTakenError) Error() string {
	return fmt.Sprintf("release note %q was accepted with other content at revision %d; give this one a new name", e.Note, e.Revision)
}

// StaleStoreError reports that the store's configuration is older than the one in force on this
// instance, for example after the store was restored from a backup.
type StaleStoreError struct {
	Head, InForce int64
}

// Error returns both revisions.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("the store's configuration (revision %d) is older than the one in force (revision %d)", e.Head, e.InForce)
}

// TooLargeError reports that a note changes more bytes of configuration than one commit may write.
type TooLargeError struct {
	Note         string
	Bytes, Limit int
}

// Error returns the size of the change and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("release note %q changes %d bytes of configuration, above %d: split it", e.Note, e.Bytes, e.Limit)
}

// UnknownNoteError reports that there is no record of an accepted note with that name.
type UnknownNoteError struct {
	Note string
}

// Error returns the name of the note.
func (e *UnknownNoteError) Error() string {
	return fmt.Sprintf("no accepted release note %q is remembered", e.Note)
}

// MissingChunkError reports that a chunk of a configuration was not found. If the chunk was read
// from the store, a newer head has replaced the one that listed it.
type MissingChunkError struct {
	Revision int64
	Hash     string
}

// Error returns the revision and the chunk's hash.
func (e *MissingChunkError) Error() string {
	return fmt.Sprintf("configuration %d: chunk %s is missing", e.Revision, e.Hash)
}
