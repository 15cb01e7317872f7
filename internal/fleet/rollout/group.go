package rollout

import (
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// buckets is the number of hash groups: prompts whose shared segments hash alike are one group.
	buckets = 4096
	// replicaWindow is for how long a server that was sent requests of a group counts as a replica
	// that has its segments cached; it passes in epochs.
	replicaWindow, epochs = 300 * time.Second, 6
	epochDuration         = replicaWindow / epochs
	// maxCount is the highest count of one report.
	maxCount = 1<<16 - 1
	// bucketShift is the position of the bucket in a packed count.
	bucketShift = 16
)

// Group is a prompt group: all that a route is sent with the same shared segments. Key 0 stands for
// prompts without such segments, which no server has anything cached of.
type Group struct {
	Route string `msgpack:"r"`
	Key   uint64 `msgpack:"k"`
}

// bucket is the group's hash group.
func (g Group) bucket() uint16 {
	return uint16(inference.Mix64(g.Key^inference.HashString(g.Route)) % buckets)
}

// Sends is the part of a report on where requests were sent.
type Sends struct {
	// Buckets has for each route and server the hash groups that were sent there, each packed with
	// its number of requests.
	Buckets map[string]map[string][]uint32 `msgpack:"b,omitempty"`
	// Hot has for each server the groups that are counted by themselves.
	Hot map[string][]HotGroupSends `msgpack:"h,omitempty"`
}

// HotGroupSends is a group of many requests, and how many of them went to a server.
type HotGroupSends struct {
	Group
	Requests int `msgpack:"n"`
}

// packBucket is a bucket with its number of requests, as in Sends.
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
	Have  int    `json:"have"`
	Need  int    `json:"need"`
}

func (s Shortage) String() string {
	return fmt.Sprintf("group %s has %d replicas beside it, and needs %d", s.Group, s.Have, s.Need)
}

// missing is the number of replicas that the group lacks.
func (s Shortage) missing() int { return s.Need - s.Have }
