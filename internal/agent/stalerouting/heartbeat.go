package stalerouting

import (
	"fmt"
	"time"
)

// Version is the version of heartbeats, decisions and exchanged sets. Other versions are rejected.
const Version = 1

// Heartbeat is the complete state that a member sends to the others of its site. The newest one replaces
// all earlier ones, so any may be lost, repeated or delayed. It is encoded as an array, so the order of
// the fields is part of the protocol.
type Heartbeat struct {
	Version     int
	From        string
	Incarnation uint64 // identifies the run of the sender's process
	Seq         uint64 // incremented with each heartbeat of the incarnation
	Isolated    bool   // the sender has no signal from outside
	Digest      uint64 // digest of the sender's ServerSet
}

// Validate returns an error that names the first invalid field of a heartbeat from another process.
func (h *Heartbeat) Validate() error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("heartbeat: version: %d, want %d", h.Version, Version)
	case h.From == "" || len(h.From) > maxName:
		return fmt.Errorf("heartbeat: from: invalid name length %d", len(h.From))
	}
	return nil
}

// receivedHeartbeat is the last heartbeat of another member.
type receivedHeartbeat struct {
	Heartbeat
	sentAt time.Duration // lower bound of the time at which it was sent
}
