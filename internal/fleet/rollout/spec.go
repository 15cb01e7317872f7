package rollout

import (
	"math"
	"time"
)

const (
	// MaxSpec is the maximum size of an operator's file, in bytes.
	MaxSpec = 64 << 10
	// maxRoutes is the maximum number of routes that a file names.
	maxRoutes = 256
	// maxAtOnce is the upper bound of Pace.AtOnce.
	maxAtOnce = 64
	// maxName is the maximum length of a name, in bytes.
	maxName = 256
)

// The values of Spec.OnWorse: the reaction to the verdict that the new revision is worse.
const (
	OnWorseRollback = "turn-back"
	OnWorseHalt     = "halt"
)

// Spec is the operator's request to move all servers of a service to another revision of a model.
// Fields whose names end in Seconds are in seconds.
type Spec struct {
	Service string               `koanf:"service" msgpack:"s" json:"service"`
	Model   string               `koanf:"model" msgpack:"m" json:"model"`
	From    int                  `koanf:"from" msgpack:"f" json:"from"` // revision of the weights that is replaced
	To      int                  `koanf:"to" msgpack:"t" json:"to"`     // revision that replaces it
	OnWorse string               `koanf:"on-worse" msgpack:"w" json:"on-worse"`
	Pace    Pace                 `koanf:"pace" msgpack:"p" json:"pace"`
	Safety  Safety               `koanf:"keep" msgpack:"k" json:"keep"`
	Judge   JudgeSpec            `koanf:"judge" msgpack:"j" json:"judge"`
	Routes  map[string]RouteSpec `koanf:"routes" msgpack:"r" json:"routes,omitempty"`
}

// Pace limits the speed of the rollout.
type Pace struct {
	// AtOnce is the maximum number of servers below their full share.
	AtOnce int `koanf:"at-once" msgpack:"a" json:"at-once"`
	// GapSeconds is the minimum time between the beginnings of two drains.
	GapSeconds float64 `koanf:"gap-s" msgpack:"g" json:"gap-s"`
	// SpreadSeconds is the minimum time at each reduced share of a drain.
	SpreadSeconds float64 `koanf:"spread-s" msgpack:"s" json:"spread-s"`
	// StageSeconds is the minimum time at each step of a ramp.
	StageSeconds float64 `koanf:"stage-s" msgpack:"t" json:"stage-s"`
	// FinishSeconds is the time that streams get to finish before they are migrated.
	FinishSeconds float64 `koanf:"finish-s" msgpack:"f" json:"finish-s"`
	// ReplaceSeconds is the maximum wait for the new incarnation of a server.
	ReplaceSeconds float64 `koanf:"replace-s" msgpack:"r" json:"replace-s"`
	// WaitSeconds is the time after which a draining server returns to service if its groups still
	// lack replicas elsewhere or the other servers lack capacity.
	WaitSeconds float64 `koanf:"wait-s" msgpack:"w" json:"wait-s"`
	// WarmupPromptsPerSecond is the maximum rate of shared prompts that a warming server prefills, for
	// all agents together.
	WarmupPromptsPerSecond float64 `koanf:"fill-per-s" msgpack:"l" json:"fill-per-s"`
}

// Safety has the conditions that must hold throughout the rollout.
type Safety struct {
	// MinReplicas is the number of replicas that each group needs besides a server that is drained.
	MinReplicas int `koanf:"floor" msgpack:"f" json:"floor"`
	// LiveSeconds is the longest average time between a group's requests at which it still needs these
	// replicas.
	LiveSeconds float64 `koanf:"live-s" msgpack:"l" json:"live-s"`
	// PeakLoad is the peak load to plan for, as a fraction of the capacity of all servers.
	PeakLoad float64 `koanf:"peak" msgpack:"p" json:"peak"`
	// UsableCapacity is the fraction of a server's capacity that planning may use.
	UsableCapacity float64 `koanf:"usable" msgpack:"u" json:"usable"`
	// SpareServers is the number of further servers whose failure must be tolerable.
	SpareServers int `koanf:"spare" msgpack:"s" json:"spare"`
}

// JudgeSpec defines when the new revision counts as worse than the old one. Increases are differences
// between proportions; ratios are between geometric means.
type JudgeSpec struct {
	// MinSamples is the number of requests of each revision that the new revision needs to pass.
	MinSamples int `koanf:"samples" msgpack:"n" json:"samples"`
	// MinServerRequests is the minimum number of requests that a server serves before it gets its next
	// share.
	MinServerRequests int `koanf:"own" msgpack:"o" json:"own"`
	// MaxFailureIncrease is the tolerated increase of the proportion of requests that fail.
	MaxFailureIncrease float64 `koanf:"fail-by" msgpack:"f" json:"fail-by"`
	// MaxRejectionIncrease is the tolerated increase of the proportion of requests that are rejected.
	MaxRejectionIncrease float64 `koanf:"refuse-by" msgpack:"r" json:"refuse-by"`
	// MaxLatenessIncrease is the tolerated increase of the proportion of requests whose first token is
	// late.
	MaxLatenessIncrease float64 `koanf:"late-by" msgpack:"l" json:"late-by"`
	// MaxStallIncrease is the tolerated increase of the proportion of streams with too long a gap.
	MaxStallIncrease float64 `koanf:"pause-by" msgpack:"p" json:"pause-by"`
	// MaxLatencyRatio is the tolerated ratio of the times to the first token.
	MaxLatencyRatio float64 `koanf:"slower-by" msgpack:"s" json:"slower-by"`
	// MaxLengthRatio is the tolerated ratio of the numbers of events per stream, in either direction.
	// If it is 0, they are not compared.
	MaxLengthRatio float64 `koanf:"length-by" msgpack:"e" json:"length-by"`
}

// RouteSpec overrides the spec for one route.
type RouteSpec struct {
	// MinReplicas replaces Safety.MinReplicas unless it is 0.
	MinReplicas int `koanf:"floor" msgpack:"f" json:"floor,omitempty"`
	// AllowedRevisions are the revisions that may serve the route; if empty, both may.
	AllowedRevisions []int `koanf:"versions" msgpack:"v" json:"versions,omitempty"`
}

// defaultSpec returns the spec that an empty file stands for.
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

// minReplicas returns the number of replicas that the groups of a route need.
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

// revisionSetOf returns the set of one revision, or the empty set if it is neither of the two.
func (s *Spec) revisionSetOf(revision int) revisionSet {
	switch revision {
	case s.From:
		return oldRevision
	case s.To:
		return newRevision
	}
	return 0
}

// allowedRevisions returns the revisions whose servers may serve a route.
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

// seconds converts a spec's number of seconds to a duration, bounded so that it does not overflow.
func seconds(s float64) time.Duration {
	const limit = 1e6
	return time.Duration(math.Min(s, limit) * float64(time.Second))
}
