// Package jobpb holds the generated code of the calls about jobs between nodes.
package jobpb
