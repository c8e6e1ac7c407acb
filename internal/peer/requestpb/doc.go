// Package requestpb holds the generated code of the protocol by which entry
// instances forward callers' requests to one another.
package requestpb
