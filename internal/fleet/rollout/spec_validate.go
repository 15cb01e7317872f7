package rollout

import (
	"slices"
	"strconv"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// validation collects the errors of a spec.
type validation struct{ errs []error }

// require adds an error of kind Invalid unless the condition holds.
func (v *validation) require(ok bool, key, remedy, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, apierror.New(apierror.Invalid, key, remedy, format, args...))
	}
}

// requireWithin adds an error unless least <= x <= most. NaN is in no range.
func (v *validation) requireWithin(key string, x, least, most float64) {
	if x >= least && x <= most {
		return
	}
	v.require(false, key, "give "+formatNumber(least)+" to "+formatNumber(most), "it is %s", formatNumber(x))
}

// requireName adds an error if a name is missing or too long.
func (v *validation) requireName(key, name, remedy string) {
	v.require(name != "" && len(name) <= maxName, key, remedy, "it is missing or longer than %d bytes", maxName)
}

// validationErrors returns an error of kind Invalid for each invalid field.
func (s *Spec) validationErrors() []error {
	var v validation
	v.requireName("service", s.Service, "name a service of the configuration")
	v.requireName("model", s.Model, "name the model as its servers do")
	v.require(s.From >= 0, "from", "give the revision that the servers hold now", "it is missing or below 0")
	v.require(s.To >= 0, "to", "give the revision that they are to hold", "it is missing or below 0")
	v.require(s.From < 0 || s.From != s.To, "to", "give another revision than from", "both are %d", s.To)
	v.require(s.OnWorse == OnWorseRollback || s.OnWorse == OnWorseHalt, "on-worse", "give "+OnWorseRollback+" or "+OnWorseHalt, "it is %.40q", s.OnWorse)
	s.Pace.validate(&v)
	s.Safety.validate(&v)
	s.Judge.validate(&v)
	v.require(len(s.Routes) <= maxRoutes, "routes", "name those only that differ", "%d routes, at most %d", len(s.Routes), maxRoutes)
	for name, route := range s.Routes {
		s.validateRoute(&v, "routes."+name, route)
	}
	return v.errs
}

// Upper bounds of a spec's times, in seconds.
const (
	maxStepSeconds = 3600
	maxWaitSeconds = 86400
)

func (p *Pace) validate(v *validation) {
	v.requireWithin("pace.at-once", float64(p.AtOnce), 1, maxAtOnce)
	v.requireWithin("pace.gap-s", p.GapSeconds, 0, maxWaitSeconds)
	v.requireWithin("pace.spread-s", p.SpreadSeconds, 0, maxStepSeconds)
	v.requireWithin("pace.stage-s", p.StageSeconds, 0, maxWaitSeconds)
	v.requireWithin("pace.finish-s", p.FinishSeconds, 0, maxStepSeconds)
	v.requireWithin("pace.replace-s", p.ReplaceSeconds, 1, maxWaitSeconds)
	v.requireWithin("pace.wait-s", p.WaitSeconds, 1, maxWaitSeconds)
	v.requireWithin("pace.fill-per-s", p.WarmupPromptsPerSecond, 0.01, 1e5)
}

// maxReplicas and maxSpareServers are the upper bounds of MinReplicas and SpareServers.
const maxReplicas, maxSpareServers = 64, 64

func (s *Safety) validate(v *validation) {
	v.requireWithin("keep.floor", float64(s.MinReplicas), 0, maxReplicas)
	v.requireWithin("keep.live-s", s.LiveSeconds, 0.1, replicaWindow.Seconds())
	v.requireWithin("keep.peak", s.PeakLoad, 0, 1)
	v.requireWithin("keep.usable", s.UsableCapacity, 0.1, 1)
	v.requireWithin("keep.spare", float64(s.SpareServers), 0, maxSpareServers)
}

func (j *JudgeSpec) validate(v *validation) {
	const maxRatio = 100
	v.requireWithin("judge.samples", float64(j.MinSamples), 10, 1e7)
	v.requireWithin("judge.own", float64(j.MinServerRequests), 0, 1e6)
	v.requireWithin("judge.fail-by", j.MaxFailureIncrease, 0, 1)
	v.requireWithin("judge.refuse-by", j.MaxRejectionIncrease, 0, 1)
	v.requireWithin("judge.late-by", j.MaxLatenessIncrease, 0, 1)
	v.requireWithin("judge.pause-by", j.MaxStallIncrease, 0, 1)
	v.requireWithin("judge.slower-by", j.MaxLatencyRatio, 1, maxRatio)
	if j.MaxLengthRatio != 0 {
		v.requireWithin("judge.length-by", j.MaxLengthRatio, 1, maxRatio)
	}
}

func (s *Spec) validateRoute(v *validation, key string, route RouteSpec) {
	v.requireWithin(key+".floor", float64(route.MinReplicas), 0, maxReplicas)
	if len(route.AllowedRevisions) == 0 {
		return
	}
	for _, revision := range route.AllowedRevisions {
		v.require(revision == s.From || revision == s.To, key+".versions", "give from, to or both", "%d is neither", revision)
	}
	v.require(slices.Contains(route.AllowedRevisions, s.To), key+".versions", "allow to, or point the route at a service that keeps the old revision",
		"the route allows no server that the rollout leaves")
}

func formatNumber(x float64) string {
	const significantDigits = 6
	return strconv.FormatFloat(x, 'g', significantDigits, 64)
}

// CheckConfig returns an error that joins one error of kind Invalid for each contradiction between the
// spec and the configuration, or nil if there is none.
func (s *Spec) CheckConfig(document *config.Document) error {
	if document == nil {
		return apierror.New(apierror.Invalid, "service", "put a configuration first", "there is no configuration")
	}
	service := document.Services[s.Service]
	if service == nil {
		return apierror.New(apierror.Invalid, "service", "name a service of the configuration", "there is no %q in revision %d", s.Service, document.Revision)
	}
	var v validation
	if service.Engine != nil && len(service.Engine.Models) > 0 {
		models := service.Engine.Models
		v.require(slices.Contains(models, s.Model), "model", "name one of "+strings.Join(models, ", "), "the service has no %q", s.Model)
	}
	for name := range s.Routes {
		hasName := func(r *config.Route) bool { return r.Name == name }
		v.require(slices.ContainsFunc(document.Routes, hasName), "routes."+name, "name a route of the configuration", "there is none of that name")
	}
	return joinSorted(v.errs)
}
