// Package operatepb holds the generated protocol of the operators' plane
// between entry instances.
//
// # Usage
//
//	client := operatepb.NewOperateClient(conn)
package operatepb
