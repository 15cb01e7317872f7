package balancer

import (
	"math"
	"time"
)

const (
	// priorityClasses is the number of priorities that are distinguished.
	priorityClasses = 10
	// latenessWindow is the time constant by which the lateness of a class fades.
	latenessWindow = 2 * time.Second
	// latenessSmoothing is the weight of one request in the lateness of its class.
	latenessSmoothing = 0.1
)

// lateness is the part of a class's requests that miss their latency target, as expected when they
// are picked and as observed.
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

// agreed is the lower of both: an estimate alone sheds nothing.
func (l *lateness) agreed(now time.Duration) float64 {
	return min(l.expected.valueAt(now), l.observed.valueAt(now))
}

// worstExpectedLateness is that of the class that fares worst.
func (v *service) worstExpectedLateness(now time.Duration) (worst float64) {
	for i := range v.lateness {
		worst = max(worst, v.lateness[i].expected.valueAt(now))
	}
	return worst
}

// decayingMean is a mean that fades to 0 without samples.
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
