// Package jsonc reads JSON with comments strictly. Unknown fields, missing fields and values of the
// wrong type are faults with a file, a line and a path. All faults of a document are collected, so
// that they can be reported together.
//
// Parse returns a Document. Its fields are read through an Object, and the elements of its lists
// through a Value. A method that finds a fault records it in the document and returns a zero value
// or a fallback, so that a caller reads all fields first and checks Document.Err once.
//
// # Usage
//
//	doc, err := jsonc.Parse("settings.jsonc", text)
//	if err != nil {
//		return err // A *jsonc.SyntaxError.
//	}
//	root := doc.Root()
//	name := root.String("name")
//	root.Close()
//	return doc.Err() // Nil or a *jsonc.FaultsError.
package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDepth is the largest nesting depth of objects and lists in a document.
const MaxDepth = 64

// SyntaxError reports that a text is not JSON with comments, or not a document that Parse accepts.
type SyntaxError struct {
	File   string
	Line   int
	Reason string
}

// Error returns the file, the line and the reason.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Fault is one error in the content of a document.
type Fault struct {
	Line int
	// Path locates the value within the document, for example added.shares[2].quota.
	Path   string
	Reason string
}

// FaultsError holds all faults of a document.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	var b strings.Builder
	for i, f := range e.Faults {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d: %s: %s", e.File, f.Line, f.Path, f.Reason)
	}
	return b.String()
}

// Document is a parsed text.
type Document struct {
	file   string
	text   []byte
	root   *Object
	faults []Fault
}

// Parse parses a text whose outermost value must be an object; file is its name in errors. The
// error is a *SyntaxError.
func Parse(file string, text []byte) (*Document, error) {
	if nestingDepth(text) > MaxDepth {
		return nil, &SyntaxError{File: file, Line: 1, Reason: fmt.Sprintf("nested deeper than %d", MaxDepth)}
	}
	v, err := hujson.Parse(text)
	if err != nil {
		return nil, syntaxError(file, err)
	}
	d := &Document{file: file, text: text}
	value := Value{doc: d, value: v}
	if v.Value.Kind() != '{' {
		return nil, &SyntaxError{File: file, Line: value.Line(), Reason: "the outermost value is not an object"}
	}
	d.root = value.Object()
	return d, nil
}

// Root returns the outermost object.
func (d *Document) Root() *Object {
	return d.root
}

// Err returns a *FaultsError with all faults recorded so far, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return &FaultsError{File: d.file, Faults: d.faults}
}

// faultf records a fault at a byte offset of the text.
func (d *Document) faultf(offset int, path, format string, args ...any) {
	if path == "" {
		path = "document"
	}
	d.faults = append(d.faults, Fault{Line: d.line(offset), Path: path, Reason: fmt.Sprintf(format, args...)})
}

// line returns the line number of a byte offset.
func (d *Document) line(offset int) int {
	offset = min(offset, len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte("\n"))
}

var linePattern = regexp.MustCompile(`line (\d+), column \d+: (.*)`)

// syntaxError converts an error of the hujson parser, and takes the line number from its message.
func syntaxError(file string, err error) error {
	reason := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 1
	if m := linePattern.FindStringSubmatch(reason); m != nil {
		line, _ = strconv.Atoi(m[1])
		reason = m[2]
	}
	if errors.Unwrap(err) != nil {
		reason = errors.Unwrap(err).Error()
	}
	return &SyntaxError{File: file, Line: line, Reason: reason}
}

// nestingDepth estimates the nesting depth by counting brackets. Since it also counts those in
// strings and comments, the result may be too high or too low.
func nestingDepth(text []byte) int {
	deepest, open := 0, 0
	for _, c := range text {
		switch c {
		case '{', '[':
			open++
			deepest = max(deepest, open)
		case '}', ']':
			open--
		}
	}
	return deepest
}
