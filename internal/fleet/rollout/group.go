package rollout

import (
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// buckets is the number of hash groups. Prompt groups with the same hash form one hash group.
	buckets = 4096
	// replicaWindow is the time for which a server that was sent requests of a group counts as a
	// replica, that is, as having the group's segments cached. It is divided into epochs.
	replicaWindow, epochs = 300 * time.Second, 6
	epochDuration         = replicaWindow / epochs
	// maxCount is the highest count of requests in a report.
	maxCount = 1<<16 - 1
	// bucketShift is the position of the bucket in a packed count.
	bucketShift = 16
)

// Group is a prompt group: all prompts of a route that have the same shared segments. Key 0 stands for
// prompts without shared segments, of which no server has anything cached.
type Group struct {
	Route string `msgpack:"r"`
	Key   uint64 `msgpack:"k"`
}

// bucket returns the index of the group's hash group.
func (g Group) bucket() uint16 {
	return uint16(inference.Mix64(g.Key^inference.HashString(g.Route)) % buckets)
}

// Sends is the part of a Report that tells which requests were sent to which servers.
type Sends struct {
	// Buckets has, by route and server, the hash groups that were sent there, each packed with its
	// number of requests.
	Buckets map[string]map[string][]uint32 `msgpack:"b,omitempty"`
	// Hot has, by server, the hot groups, which are also counted individually.
	Hot map[string][]HotGroupSends `msgpack:"h,omitempty"`
}

// HotGroupSends is a hot group and the number of its requests that were sent to a server.
type HotGroupSends struct {
	Group
	Requests int `msgpack:"n"`
}

// packBucket packs a bucket and its number of requests as in Sends.Buckets.
func packBucket(bucket uint16, requests int) uint32 {
	return uint32(bucket)<<bucketShift | uint32(requests)
}

// unpackBucket is the reverse of packBucket. The bucket may be out of range.
func unpackBucket(packed uint32) (bucket uint32, requests int) {
	return packed >> bucketShift, int(packed & maxCount)
}

// Shortage is a group that has fewer replicas than it needs.
type Shortage struct {
	Group string `json:"group"`
	Have  int    `json:"have"` // number of replicas
	Need  int    `json:"need"` // required number of replicas
}

func (s Shortage) String() string {
	return fmt.Sprintf("group %s has %d replicas beside it, and needs %d", s.Group, s.Have, s.Need)
}

// missing returns the number of replicas that the group lacks.
func (s Shortage) missing() int { return s.Need - s.Have }
