// Package journalpb holds the generated messages of the journal's codec.
//
// # Usage
//
//	text, err := proto.Marshal(&journalpb.Batch{})
package journalpb
