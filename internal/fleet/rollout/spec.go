package rollout

import (
	"math"
	"time"
)

const (
	// MaxSpec is the largest operator's file, in bytes.
	MaxSpec = 64 << 10
	// maxRoutes bounds the routes that a file names.
	maxRoutes = 256
	// maxAtOnce bounds the servers that are below their full share.
	maxAtOnce = 64
	// maxName bounds names, in bytes.
	maxName = 256
)

// The values of Spec.OnWorse: what follows on the verdict that the new revision is worse.
const (
	OnWorseRollback = "turn-back"
	OnWorseHalt     = "halt"
)

// Spec is what the operator requests: all servers of a service are to hold another revision of a
// model. Fields that end in Seconds are seconds.
type Spec struct {
	Service string               `koanf:"service" msgpack:"s" json:"service"`
	Model   string               `koanf:"model" msgpack:"m" json:"model"`
	From    int                  `koanf:"from" msgpack:"f" json:"from"` // revision of the weights
	To      int                  `koanf:"to" msgpack:"t" json:"to"`
	OnWorse string               `koanf:"on-worse" msgpack:"w" json:"on-worse"`
	Pace    Pace                 `koanf:"pace" msgpack:"p" json:"pace"`
	Safety  Safety               `koanf:"keep" msgpack:"k" json:"keep"`
	Judge   JudgeSpec            `koanf:"judge" msgpack:"j" json:"judge"`
	Routes  map[string]RouteSpec `koanf:"routes" msgpack:"r" json:"routes,omitempty"`
}

// Pace is how fast the rollout goes.
type Pace struct {
	// AtOnce is how many servers may be below their full share.
	AtOnce int `koanf:"at-once" msgpack:"a" json:"at-once"`
	// GapSeconds is the least time between the drains of two servers.
	GapSeconds float64 `koanf:"gap-s" msgpack:"g" json:"gap-s"`
	// SpreadSeconds is the least time at each share of a drain.
	SpreadSeconds float64 `koanf:"spread-s" msgpack:"s" json:"spread-s"`
	// StageSeconds is the least time at each share of a ramp.
	StageSeconds float64 `koanf:"stage-s" msgpack:"t" json:"stage-s"`
	// FinishSeconds is for how long streams may finish before they are migrated.
	FinishSeconds float64 `koanf:"finish-s" msgpack:"f" json:"finish-s"`
	// ReplaceSeconds is for how long a new incarnation is awaited.
	ReplaceSeconds float64 `koanf:"replace-s" msgpack:"r" json:"replace-s"`
	// WaitSeconds is after how long a server whose groups find no replicas returns to service.
	WaitSeconds float64 `koanf:"wait-s" msgpack:"w" json:"wait-s"`
	// WarmupPromptsPerSecond is how many shared prompts a warming server is made to prefill.
	WarmupPromptsPerSecond float64 `koanf:"fill-per-s" msgpack:"l" json:"fill-per-s"`
}

// Safety is what has to hold throughout.
type Safety struct {
	// MinReplicas is how many replicas each group needs beside a server that is drained.
	MinReplicas int `koanf:"floor" msgpack:"f" json:"floor"`
	// LiveSeconds is how often a group must be requested for that.
	LiveSeconds float64 `koanf:"live-s" msgpack:"l" json:"live-s"`
	// PeakLoad is the load to expect, as a part of all servers.
	PeakLoad float64 `koanf:"peak" msgpack:"p" json:"peak"`
	// UsableCapacity is the part of a server's capacity that may be planned with.
	UsableCapacity float64 `koanf:"usable" msgpack:"u" json:"usable"`
	// SpareServers is how many further servers may fail.
	SpareServers int `koanf:"spare" msgpack:"s" json:"spare"`
}

// JudgeSpec is when the new revision counts as worse than the old. Increases are differences of
// proportions of requests, ratios are of geometric means.
type JudgeSpec struct {
	// MinSamples is the number of requests of each revision before a verdict.
	MinSamples int `koanf:"samples" msgpack:"n" json:"samples"`
	// MinServerRequests is the number of requests of a server before its next share.
	MinServerRequests int `koanf:"own" msgpack:"o" json:"own"`
	// MaxFailureIncrease is of the requests that fail.
	MaxFailureIncrease float64 `koanf:"fail-by" msgpack:"f" json:"fail-by"`
	// MaxRejectionIncrease is of the requests that are rejected.
	MaxRejectionIncrease float64 `koanf:"refuse-by" msgpack:"r" json:"refuse-by"`
	// MaxLatenessIncrease is of the requests whose first token is late.
	MaxLatenessIncrease float64 `koanf:"late-by" msgpack:"l" json:"late-by"`
	// MaxStallIncrease is of the streams with a gap that is too long.
	MaxStallIncrease float64 `koanf:"pause-by" msgpack:"p" json:"pause-by"`
	// MaxLatencyRatio is of times to the first token.
	MaxLatencyRatio float64 `koanf:"slower-by" msgpack:"s" json:"slower-by"`
	// MaxLengthRatio is of events of a stream, either way; 0: not compared.
	MaxLengthRatio float64 `koanf:"length-by" msgpack:"e" json:"length-by"`
}

// RouteSpec is what differs on one route.
type RouteSpec struct {
	// MinReplicas replaces Safety.MinReplicas unless it is 0.
	MinReplicas int `koanf:"floor" msgpack:"f" json:"floor,omitempty"`
	// AllowedRevisions are the revisions that may serve the route; none: both.
	AllowedRevisions []int `koanf:"versions" msgpack:"v" json:"versions,omitempty"`
}

// defaultSpec is the spec of an empty file.
func defaultSpec() Spec {
	return Spec{
		From:    -1,
		To:      -1,
		OnWorse: OnWorseRollback,
		Pace: Pace{
			AtOnce:                 1,
			GapSeconds:             5,
			SpreadSeconds:          10,
			StageSeconds:           20,
			FinishSeconds:          20,
			ReplaceSeconds:         900,
			WaitSeconds:            300,
			WarmupPromptsPerSecond: 20,
		},
		Safety: Safety{MinReplicas: 2, LiveSeconds: 15, PeakLoad: 0.7, UsableCapacity: 0.9, SpareServers: 1},
		Judge: JudgeSpec{
			MinSamples:           300,
			MinServerRequests:    30,
			MaxFailureIncrease:   0.01,
			MaxRejectionIncrease: 0.03,
			MaxLatenessIncrease:  0.03,
			MaxStallIncrease:     0.03,
			MaxLatencyRatio:      1.3,
			MaxLengthRatio:       2,
		},
	}
}

// minReplicas is how many replicas the groups of a route need.
func (s *Spec) minReplicas(route string) int {
	if r, ok := s.Routes[route]; ok && r.MinReplicas > 0 {
		return r.MinReplicas
	}
	return s.Safety.MinReplicas
}

// revisionSet is a set of the two revisions of a rollout.
type revisionSet uint8

const (
	oldRevision revisionSet = 1 << iota // Spec.From
	newRevision                         // Spec.To
)

// revisionSetOf is the set of one revision; empty if it is neither.
func (s *Spec) revisionSetOf(revision int) revisionSet {
	switch revision {
	case s.From:
		return oldRevision
	case s.To:
		return newRevision
	}
	return 0
}

// allowedRevisions are those whose servers may serve a route.
func (s *Spec) allowedRevisions(route string) revisionSet {
	revisions := s.Routes[route].AllowedRevisions
	if len(revisions) == 0 {
		return oldRevision | newRevision
	}
	var allowed revisionSet
	for _, revision := range revisions {
		allowed |= s.revisionSetOf(revision)
	}
	return allowed
}

// seconds is a duration of a spec, bounded so that it does not overflow.
func seconds(s float64) time.Duration {
	const limit = 1e6
	return time.Duration(math.Min(s, limit) * float64(time.Second))
}
