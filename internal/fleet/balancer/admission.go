package balancer

import "time"

const (
	// A request is rejected for lack of time if admissionConfidence times the estimated time to its
	// first token, less the mean error, exceeds the time left.
	admissionConfidence = 0.7
	// shedThreshold is the lateness of a more urgent class above which requests are shed, and
	// shedSlope is by how much the fraction of shed requests grows with that lateness. If the
	// lateness of its own class exceeds shedOwnThreshold, requests that would be late are shed. At
	// most a fraction of maxShedRatio is shed.
	shedThreshold, shedSlope = 0.15, 2.0
	shedOwnThreshold         = 0.5
	maxShedRatio             = 0.6
)

// rejectionReason returns why the request is not forwarded to its best candidate, or "" if it is
// forwarded. Nothing is rejected while the service has free capacity.
func (p *Picker) rejectionReason(now time.Duration, svc *service, pick *pickContext, best *candidate) string {
	minFirstTokenMs := millis(best.firstToken)*admissionConfidence - millis(svc.latency.FirstTokenError())
	if minFirstTokenMs > millis(pick.TimeLeft) && svc.isLoaded(now) {
		return reasonNoTime
	}
	ratio := svc.shedRatio(now, pick.priorityClass, best.lateProbability)
	if ratio > 0 && p.rng.Float64() < min(ratio, maxShedRatio) && svc.isLoaded(now) {
		return reasonOverloaded
	}
	return ""
}

// shedRatio returns the fraction of a class's requests to shed; it may exceed 1. Less urgent
// requests are shed if more urgent classes are late, and requests that would be late anyway are shed
// if their own class is.
func (v *service) shedRatio(now time.Duration, class int, lateProbability float64) float64 {
	ratio := 0.0
	for moreUrgent := range class {
		ratio = max(ratio, shedSlope*(v.lateness[moreUrgent].confirmedRatio(now)-shedThreshold))
	}
	if lateProbability > 0.5 {
		ratio = max(ratio, v.lateness[class].confirmedRatio(now)-shedOwnThreshold)
	}
	return ratio
}
