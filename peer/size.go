package peer

import (
	"google.golang.org/protobuf/proto"
)

// Size returns the bytes that a heartbeat takes on the wire, without those of
// the call that carries it.
func Size(h Heartbeat) int {
	return proto.Size(encodeGossip(h))
}
