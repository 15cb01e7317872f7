package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// shareOnDisk is a member's ledger with its records: the one on disk and the latest one, which may be on disk as
// soon as its write has begun.
type shareOnDisk struct {
	ledger         *Ledger
	startedAt      time.Duration
	onDisk, latest *record
	writing        bool
}

// step begins a write, ends one, or does nothing.
func (s *shareOnDisk) step(now time.Duration, rng *rand.Rand) {
	switch {
	case !s.writing && (s.ledger.RecordDue(now) || s.onDisk == nil || s.onDisk.Settled != s.settled(now)):
		s.latest = &record{Floors: s.ledger.BeginRecord(now), Settled: s.settled(now)}
		s.writing = true
	case s.writing && rng.IntN(3) == 0:
		s.end(rng.IntN(4) > 0, rng)
	}
}

// settled is Ledger.Settled by a clock that starts with the process.
func (s *shareOnDisk) settled(now time.Duration) bool { return s.ledger.Settled(now - s.startedAt) }

// end ends a write. A write that fails may have reached the disk.
func (s *shareOnDisk) end(written bool, rng *rand.Rand) {
	s.ledger.EndRecord(written)
	s.writing = false
	if written || rng.IntN(2) == 0 {
		s.onDisk = s.latest
	}
}

// losePower restarts the member from what is on its disk. A record that is being written may be there or not.
func (s *shareOnDisk) losePower(now time.Duration, members int, limit Limit, rng *rand.Rand) {
	if s.writing && rng.IntN(2) == 0 {
		s.onDisk = s.latest
	}
	s.writing, s.startedAt = false, now
	s.ledger = NewLedger(testBounds)
	if s.onDisk != nil {
		s.ledger.Restore(s.onDisk.Floors, s.onDisk.Settled)
	}
	s.ledger.SetDivisor(now, members)
	s.ledger.SetLimits(now, map[string]Limit{testTenant: limit})
}

// No window admits more than the bounds allow, even if all members lose power at any time, twice within a window, and
// some of them lose their disks as well.
func TestNoWindowExceedsBoundsThroughLossesOfPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			RatePerS: rapid.Float64Range(1, 500_000).Draw(t, "rate"),
			Burst:    rapid.Float64Range(0, 500_000).Draw(t, "burst"),
		}
		members := rapid.IntRange(1, 7).Draw(t, "members")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		shares := make([]*shareOnDisk, members)
		ledgers := make([]*Ledger, members)
		for i := range shares {
			shares[i] = &shareOnDisk{ledger: newShare(0, members, limit)}
			ledgers[i] = shares[i].ledger
		}
		const step = 50 * time.Millisecond
		firstLoss := time.Duration(rng.IntN(400)) * step
		secondLoss := firstLoss + time.Duration(rng.IntN(160))*step
		var admitted slidingSum
		for now := time.Duration(0); now < 30*time.Second; now += step {
			for i, share := range shares {
				if now == firstLoss || now == secondLoss {
					if rng.IntN(8) == 0 {
						share.onDisk = nil // the disk is lost as well
					}
					share.losePower(now, members, limit, rng)
					ledgers[i] = share.ledger
				}
				share.step(now, rng)
				amount := rng.ExpFloat64() * limit.RatePerS / 20
				if drawTogether(ledgers, now, i, amount, rng) {
					admitted.add(now, amount)
				}
			}
			admitted.requireAllowed(t, now, limit)
		}
	})
}

// Each member has lent half of its share to a deputy, which has no disk and starts anew in each of its processes.
// No window admits more than the bounds allow, even if all machines lose power twice within one.
func TestNoWindowExceedsBoundsWithDeputies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			RatePerS: rapid.Float64Range(1, 500_000).Draw(t, "rate"),
			Burst:    rapid.Float64Range(0, 500_000).Draw(t, "burst"),
		}
		members := rapid.IntRange(1, 7).Draw(t, "members")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ledgers := newShares(2*members, limit)
		for _, ledger := range ledgers {
			ledger.SetDivisor(0, 2*members)
		}
		shares := make([]*shareOnDisk, members) // of the members; ledgers has those of their deputies after them
		for i := range shares {
			shares[i] = &shareOnDisk{ledger: ledgers[i]}
		}
		const step = 100 * time.Millisecond
		firstLoss := time.Duration(rng.IntN(200)) * step
		secondLoss := firstLoss + time.Duration(rng.IntN(80))*step
		var admitted slidingSum
		for now := time.Duration(0); now < 30*time.Second; now += step {
			for i := range ledgers {
				lost := now == firstLoss || now == secondLoss
				if i < members && lost {
					shares[i].losePower(now, 2*members, limit, rng)
					ledgers[i] = shares[i].ledger
				}
				if i < members {
					shares[i].step(now, rng)
				} else if lost {
					ledgers[i] = newShare(now, 2*members, limit)
				}
				amount := rng.ExpFloat64() * limit.RatePerS / 10
				if drawTogether(ledgers, now, i, amount, rng) {
					admitted.add(now, amount)
				}
			}
			admitted.requireAllowed(t, now, limit)
		}
	})
}

// slidingSum is the sum of the amounts in the quota's window.
type slidingSum struct {
	times   []time.Duration
	amounts []float64
	sum     float64
}

func (s *slidingSum) add(at time.Duration, amount float64) {
	s.times, s.amounts, s.sum = append(s.times, at), append(s.amounts, amount), s.sum+amount
}

// requireAllowed requires that the sum in the window that ends now is within the bounds.
func (s *slidingSum) requireAllowed(t *rapid.T, now time.Duration, limit Limit) {
	t.Helper()
	if sum := s.within(now); sum > allowed(limit)*1.000001 {
		t.Fatalf("%v admitted in the window that ends at %v, %v are allowed", sum, now, allowed(limit))
	}
}

// within returns the sum in the window that ends now.
func (s *slidingSum) within(now time.Duration) float64 {
	for len(s.times) > 0 && s.times[0] <= now-testBounds.Window {
		s.sum -= s.amounts[0]
		s.times, s.amounts = s.times[1:], s.amounts[1:]
	}
	return s.sum
}

// Whenever power is lost, the next process starts with no more than this one held, or, if this one had settled,
// with the start level if that is higher.
func TestRestoredShareIsNeverMoreThanItWas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RatePerS: 10_000, Burst: rapid.Float64Range(0, 200_000).Draw(t, "burst")}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		share := &shareOnDisk{ledger: newShare(0, 3, limit)}
		for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
			share.step(now, rng)
			switch rng.IntN(40) {
			case 0:
				share.ledger.SetLimits(now, map[string]Limit{testTenant: {RatePerS: 100, Burst: 100}}) // briefly
				share.ledger.SetLimits(now, map[string]Limit{testTenant: limit})
			case 1:
				share.ledger.SetDivisor(now, 3+rng.IntN(4))
			}
			share.ledger.Draw(now, testTenant, rng.ExpFloat64()*2000)
			if share.onDisk == nil || rng.IntN(10) > 0 {
				continue
			}
			held := share.ledger.accounts[testTenant].level
			divisor := share.ledger.Divisor()
			if share.settled(now) {
				held = max(held, share.ledger.startLevel(limit))
			}
			share.losePower(now, divisor, limit, rng)
			if restored := share.ledger.accounts[testTenant].level; restored > held*1.000001 {
				t.Fatalf("%v restored at %v, only %v were held", restored, now, held)
			}
		}
	})
}

func TestTenantsOfARecord(t *testing.T) {
	limit := Limit{RatePerS: 1000, Burst: 100_000}
	ledger := NewLedger(testBounds)
	ledger.Restore(map[string]float64{
		"known": 500, "negative": -1, "nan": math.NaN(), "infinite": math.Inf(1), "huge": 1e30, "late": 70,
	}, false)
	ledger.SetDivisor(0, 2)
	ledger.SetLimits(0, nil) // the configuration is not known yet
	limits := map[string]Limit{}
	for _, name := range []string{"known", "unknown", "negative", "nan", "infinite", "huge"} {
		limits[name] = limit
	}
	ledger.SetLimits(0, limits)
	held := func(name string) float64 { return ledger.accounts[name].level }
	require.EqualValues(t, 500, held("known"))
	require.Zero(t, held("unknown"), "an unknown tenant may have had a share")
	require.Zero(t, held("negative"))
	require.Zero(t, held("nan"))
	require.Zero(t, held("infinite"))
	require.InDelta(t, ledger.capacity(limit), held("huge"), 1e-6)
	limits["late"], limits["new"] = limit, limit
	ledger.SetLimits(0, limits)
	require.EqualValues(t, 70, held("late"))
	require.InDelta(t, ledger.startLevel(limit), held("new"), 1e-6)
}
