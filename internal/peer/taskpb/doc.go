// Package taskpb holds the generated protocol of the task plane between entry
// instances.
//
// # Usage
//
//	client := taskpb.NewTasksClient(conn)
package taskpb
