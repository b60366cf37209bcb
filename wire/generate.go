// Package wire contains the protobuf definitions of the messages between the
// processes, the Go code generated from them, and the conversion to the types of the
// core packages.
package wire

//go:generate protoc -I . --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative targetpb/target.proto peerpb/peer.proto nodepb/node.proto
