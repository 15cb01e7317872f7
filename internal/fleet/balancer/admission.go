package balancer

import "time"

const (
	// admissionConfidence is the part of an estimate, less the mean error, that must fit into the
	// time left.
	admissionConfidence = 0.7
	// shedThreshold is the lateness of a more urgent class from which requests are shed, and
	// shedSlope how steeply. Above shedOwnThreshold of their own class, requests that would be late
	// are shed. At most maxShedRatio of all are.
	shedThreshold, shedSlope = 0.15, 2.0
	shedOwnThreshold         = 0.5
	maxShedRatio             = 0.6
)

// rejectionReason is why the request is not forwarded to its best candidate, or "" if it is.
// Nothing is rejected while the service has free capacity.
func (p *Picker) rejectionReason(now time.Duration, svc *service, pick *pickContext, best *candidate) string {
	leastMs := millis(best.firstToken)*admissionConfidence - millis(svc.latency.FirstTokenError())
	if leastMs > millis(pick.TimeLeft) && svc.isLoaded(now) {
		return reasonNoTime
	}
	ratio := svc.shedRatio(now, pick.priorityClass, best.lateProbability)
	if ratio > 0 && p.rng.Float64() < min(ratio, maxShedRatio) && svc.isLoaded(now) {
		return reasonOverloaded
	}
	return ""
}

// shedRatio is the part of a class's requests to shed, which may exceed 1: the less urgent ones
// first, and those that would be late anyway.
func (v *service) shedRatio(now time.Duration, class int, lateProbability float64) float64 {
	ratio := 0.0
	for moreUrgent := range class {
		ratio = max(ratio, shedSlope*(v.lateness[moreUrgent].agreed(now)-shedThreshold))
	}
	if lateProbability > 0.5 {
		ratio = max(ratio, v.lateness[class].agreed(now)-shedOwnThreshold)
	}
	return ratio
}
