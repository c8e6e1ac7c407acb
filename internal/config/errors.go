package config

import (
	"fmt"
	"strings"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// ConflictError says that other notes touched entries of a note first.
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

// NameTakenError says that another note of the same name was accepted before.
type NameTakenError struct {
	Note     string
	Revision int64
}

// Error returns the note and the revision.
func (e *NameTakenError) Error() string {
	return fmt.Sprintf("release note %q was accepted with other content at revision %d; give this one a new name", e.Note, e.Revision)
}

// StaleStoreError says that the store's configuration is older than the one in force.
type StaleStoreError struct {
	Head, InForce int64
}

// Error returns both revisions.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("the store's configuration (revision %d) is older than the one in force (revision %d)", e.Head, e.InForce)
}

// TooLargeError says that a note changes more than one commit may hold.
type TooLargeError struct {
	Note         string
	Bytes, Limit int
}

// Error returns the sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("release note %q changes %d bytes of configuration, above %d: split it", e.Note, e.Bytes, e.Limit)
}

// UnknownNoteError says that no accepted note of that name is remembered.
type UnknownNoteError struct {
	Note string
}

// Error returns the note.
func (e *UnknownNoteError) Error() string {
	return fmt.Sprintf("no accepted release note %q is remembered", e.Note)
}

// MissingChunkError says that a chunk is not there; a newer head has replaced its own.
type MissingChunkError struct {
	Revision int64
	Hash     string
}

// Error returns the revision and the chunk.
func (e *MissingChunkError) Error() string {
	return fmt.Sprintf("configuration %d: chunk %s is missing", e.Revision, e.Hash)
}
