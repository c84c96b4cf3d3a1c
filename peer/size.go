package peer

import (
	"google.golang.org/protobuf/proto"
)

// HeartbeatSize returns the encoded size of a heartbeat in bytes, without the
// overhead of the call that carries it.
func HeartbeatSize(h Heartbeat) int {
	return proto.Size(encodeGossip(h))
}
