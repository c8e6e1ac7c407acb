// Package slotpb holds the generated protocol by which entry instances divide
// slots between them.
//
// # Usage
//
// Call it through package peer; generate.sh there makes the code anew.
package slotpb
