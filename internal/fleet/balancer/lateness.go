package balancer

import (
	"math"
	"time"
)

const (
	// priorityClasses is the number of priority classes; class 0 is the most urgent.
	priorityClasses = 10
	// latenessWindow is the time constant with which the lateness of a class decays.
	latenessWindow = 2 * time.Second
	// latenessSmoothing is the weight of one request in the lateness of its class.
	latenessSmoothing = 0.1
)

// lateness is the fraction of a class's requests that miss their latency target: as expected when
// a server is picked, and as observed when the first token arrives.
type lateness struct{ expected, observed decayingMean }

func (l *lateness) recordExpected(now time.Duration, probability float64) {
	l.expected.add(now, probability)
}

func (l *lateness) recordObserved(now time.Duration, late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	l.observed.add(now, sample)
}

// confirmedRatio returns the lower of the expected and the observed ratio, so that an estimate alone
// sheds nothing.
func (l *lateness) confirmedRatio(now time.Duration) float64 {
	return min(l.expected.valueAt(now), l.observed.valueAt(now))
}

// worstExpectedLateness returns the highest expected lateness of all classes.
func (v *service) worstExpectedLateness(now time.Duration) (worst float64) {
	for i := range v.lateness {
		worst = max(worst, v.lateness[i].expected.valueAt(now))
	}
	return worst
}

// decayingMean is an exponentially weighted mean that decays to 0 without samples.
type decayingMean struct {
	value     float64
	updatedAt time.Duration
}

func (m *decayingMean) add(now time.Duration, sample float64) {
	value := m.valueAt(now)
	m.value, m.updatedAt = value+latenessSmoothing*(sample-value), now
}

func (m *decayingMean) valueAt(now time.Duration) float64 {
	return m.value * math.Exp(-float64(now-m.updatedAt)/float64(latenessWindow))
}
