// Package peerpb defines the messages between daemons. The generated code is
// committed; `go generate` regenerates it and needs protoc on the path.
package peerpb

//go:generate sh -c "cd .. && go build -o peerpb/protoc-gen-go.tmp google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=protoc-gen-go=peerpb/protoc-gen-go.tmp --go_out=. --go_opt=paths=source_relative peerpb/peer.proto; rm -f peerpb/protoc-gen-go.tmp"
