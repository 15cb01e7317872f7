package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testBounds = Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 140_000}

const (
	testTenant  = "t"
	testMembers = 6
)

// allowed returns what the bounds allow in a window.
func allowed(limit Limit) float64 {
	return limit.RatePerS*testBounds.Window.Seconds() + limit.Burst + testBounds.tolerance(limit)
}

// newShares returns the ledgers of members that start at time 0.
func newShares(members int, limit Limit) []*Ledger {
	ledgers := make([]*Ledger, members)
	for i := range ledgers {
		ledgers[i] = newShare(0, members, limit)
	}
	return ledgers
}

func newShare(now time.Duration, members int, limit Limit) *Ledger {
	ledger := NewLedger(testBounds)
	ledger.SetDivisor(now, members)
	ledger.SetLimits(now, map[string]Limit{testTenant: limit})
	return ledger
}

func TestShareFillsToItsPart(t *testing.T) {
	limit := Limit{RatePerS: 600, Burst: 1200}
	ledger := newShare(0, 6, limit)
	start := startFraction * testBounds.tolerance(limit) / 6
	require.InDelta(t, start, ledger.Shares(0)[0].Level, 1e-6)
	require.InDelta(t, start+100, ledger.Shares(time.Second)[0].Level, 1.001, "one sixth of the rate")
	capacity := (1200 + reserveFraction*testBounds.tolerance(limit)) / 6
	require.InDelta(t, capacity, ledger.Shares(time.Hour)[0].Level, 1e-6)
	require.False(t, ledger.Take(time.Hour, testTenant, capacity+1))
	require.True(t, ledger.Take(time.Hour, testTenant, capacity))
	require.False(t, ledger.Take(time.Hour, testTenant, 1))
	require.Zero(t, ledger.Draw(time.Hour, testTenant, 1))
	ledger.Return(time.Hour, testTenant, 5)
	require.EqualValues(t, 5, ledger.Draw(time.Hour, testTenant, 100))
}

func TestUnknownTenant(t *testing.T) {
	ledger := newShare(0, 3, Limit{RatePerS: 10})
	require.False(t, ledger.Known("x"))
	require.False(t, ledger.Take(0, "x", 1))
	require.Zero(t, ledger.Draw(0, "x", 1))
	ledger.Return(0, "x", 1)
	require.Len(t, ledger.Shares(0), 1)
}

// A lower limit cuts the level to the lower capacity. A higher one adds no more than the rate does.
func TestLimitChanges(t *testing.T) {
	high, low := Limit{RatePerS: 6000, Burst: 600_000}, Limit{RatePerS: 60, Burst: 60}
	ledger := newShare(0, 6, high)
	now := time.Hour
	full := ledger.Shares(now)[0].Level
	ledger.SetLimits(now, map[string]Limit{testTenant: low})
	lowered := ledger.Shares(now)[0].Level
	require.Less(t, lowered, full)
	ledger.SetLimits(now, map[string]Limit{testTenant: high})
	require.InDelta(t, lowered, ledger.Shares(now)[0].Level, 1e-6)
	require.InDelta(t, lowered+1000, ledger.Shares(now + time.Second)[0].Level, 10.001)
}

// A tenant that is removed and added again has what was left of its share, not a new share.
func TestTenantReturns(t *testing.T) {
	limit := Limit{RatePerS: 600, Burst: 6000}
	ledger := newShare(0, 6, limit)
	require.Positive(t, ledger.Draw(0, testTenant, 1e9))
	ledger.SetLimits(time.Second, nil)
	require.False(t, ledger.Known(testTenant))
	require.False(t, ledger.Take(time.Second, testTenant, 1))
	ledger.SetLimits(2*time.Second, map[string]Limit{testTenant: limit})
	require.InDelta(t, 200, ledger.Shares(2 * time.Second)[0].Level, 2.001)
	ledger.SetLimits(3*time.Second, nil)
	ledger.SetLimits(3*time.Second+2*retentionWindows*testBounds.Window, nil)
	require.Empty(t, ledger.accounts, "the account is deleted after some time")
}

// A lost member still counts for as long as it may use its share.
func TestDivisor(t *testing.T) {
	limit := Limit{RatePerS: 600, Burst: 6000}
	ledger := newShare(0, 6, limit)
	rate := func(now time.Duration) float64 { return ledger.Shares(now)[0].RatePerS }
	ledger.SetDivisor(time.Second, 5)
	require.InDelta(t, 101, rate(time.Second), 1e-6)
	ledger.SetDivisor(10*time.Second, 6)
	ledger.SetDivisor(11*time.Second, 5)
	ledger.SetDivisor(27*time.Second, 5)
	require.InDelta(t, 101, rate(27*time.Second), 1e-6, "the member came back in between")
	ledger.SetDivisor(28*time.Second, 5)
	require.InDelta(t, 121.2, rate(28*time.Second), 1e-6)
	ledger.SetDivisor(28*time.Second, 7)
	require.InDelta(t, 606.0/7, rate(28*time.Second), 1e-6, "an additional member counts at once")
}

// No window admits more than the bounds allow, whatever is requested, drawn and returned, even if all members restart
// at once.
func TestNoWindowExceedsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			RatePerS: rapid.Float64Range(1, 500_000).Draw(t, "rate"),
			Burst:    rapid.Float64Range(0, 500_000).Draw(t, "burst"),
		}
		members := rapid.IntRange(1, 7).Draw(t, "members")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ledgers := newShares(members, limit)
		const step = 100 * time.Millisecond
		restartAt := time.Duration(rng.IntN(20_000)) * time.Millisecond
		var admitted slidingSum
		for now := time.Duration(0); now < 30*time.Second; now += step {
			for i := range ledgers {
				if now == restartAt/step*step {
					ledgers[i] = newShare(now, members, limit)
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

// The members' clocks are up to 2% fast or slow, and all members restart once: no window of true time admits more than
// the bounds allow.
func TestNoWindowExceedsBoundsByDriftingClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			RatePerS: rapid.Float64Range(1, 500_000).Draw(t, "rate"),
			Burst:    rapid.Float64Range(0, 500_000).Draw(t, "burst"),
		}
		rates := rapid.SliceOfN(rapid.Float64Range(0.98, 1.02), 1, 7).Draw(t, "clock rates")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ledgers := newShares(len(rates), limit)
		const step = 100 * time.Millisecond
		restartAt := time.Duration(rng.IntN(200)) * step
		var admitted slidingSum
		for now := time.Duration(0); now < 30*time.Second; now += step {
			clock := func(member int) time.Duration { return time.Duration(float64(now) * rates[member]) }
			for i := range ledgers {
				if now == restartAt {
					ledgers[i] = newShare(clock(i), len(rates), limit)
				}
				amount := rng.ExpFloat64() * limit.RatePerS / 5
				if drawByClocks(ledgers, clock, i, amount, rng) {
					admitted.add(now, amount)
				}
			}
			admitted.requireAllowed(t, now, limit)
		}
	})
}

// simulate sends requests of a tenant, at a multiple of its rate on average, to members chosen by pick. If shaped, it
// sends only those that one bucket for the whole limit would admit. It returns the fraction of requests that were
// rejected, and the admitted amount as a fraction of the rate.
func simulate(limit Limit, load float64, shaped bool, pick func(*rand.Rand) int) (rejected, admitted float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	ledgers := newShares(testMembers, limit)
	const mean, warmup, end = 7000.0, 10 * time.Second, 300 * time.Second
	var sent, sentAndRejected, admittedTokens float64
	single, singleAt := limit.Burst, time.Duration(0)
	recordedAt := time.Duration(0)
	for now := warmup; now < end; now += time.Duration(
		rng.ExpFloat64() * mean / (load * limit.RatePerS) * float64(time.Second)) {
		amount := 200 + (mean-200)*rng.ExpFloat64()
		single = min(single+(now-singleAt).Seconds()*limit.RatePerS, limit.Burst)
		singleAt = now
		if shaped && single < amount {
			continue
		}
		single -= amount
		sent++
		recordAll(ledgers, now, &recordedAt)
		if drawTogether(ledgers, now, pick(rng), amount, rng) {
			admittedTokens += amount
		} else {
			sentAndRejected++
		}
	}
	return sentAndRejected / sent, admittedTokens / (limit.RatePerS * (end - warmup).Seconds())
}

// recordAll writes the records that are due, to disks without a delay.
func recordAll(ledgers []*Ledger, now time.Duration, recordedAt *time.Duration) {
	if now-*recordedAt < recordInterval {
		return
	}
	*recordedAt = now
	for _, ledger := range ledgers {
		if ledger.RecordDue(now) {
			ledger.BeginRecord(now)
			ledger.EndRecord(true)
		}
	}
}

// drawTogether takes an amount from one member's share and, if that is too small, from the others' shares.
func drawTogether(ledgers []*Ledger, now time.Duration, member int, amount float64, rng *rand.Rand) bool {
	return drawByClocks(ledgers, func(int) time.Duration { return now }, member, amount, rng)
}

// drawByClocks is drawTogether with a separate clock for each member.
func drawByClocks(
	ledgers []*Ledger, clock func(member int) time.Duration, member int, amount float64, rng *rand.Rand,
) bool {
	taken := ledgers[member].Draw(clock(member), testTenant, amount)
	headroom := ledgers[member].Headroom(clock(member), testTenant)
	others := rng.Perm(len(ledgers))
	slices.SortStableFunc(others, func(i, j int) int {
		return cmp.Compare(ledgers[j].Level(clock(j), testTenant), ledgers[i].Level(clock(i), testTenant))
	})
	for _, other := range others {
		if other != member && taken < amount {
			taken += ledgers[other].DrawBalanced(clock(other), testTenant, amount-taken, headroom)
		}
	}
	if taken < amount {
		ledgers[member].Return(clock(member), testTenant, taken)
		return false
	}
	ledgers[member].Return(clock(member), testTenant, taken-amount)
	return true
}

// Almost no request is rejected of a tenant that uses 0.95 of its limit, unevenly but within its burst. A tenant that
// asks for eight times its limit gets almost all of the limit.
func TestQuotaIsTightOnBothSides(t *testing.T) {
	for _, limit := range []Limit{{RatePerS: 350_000, Burst: 350_000}, {RatePerS: 36_000, Burst: 36_000}} {
		for name, pick := range map[string]func(*rand.Rand) int{
			"evenly":           func(rng *rand.Rand) int { return rng.IntN(6) },
			"at two members":   func(rng *rand.Rand) int { return rng.IntN(2) },
			"at one member":    func(*rand.Rand) int { return 0 },
			"mostly at one":    func(rng *rand.Rand) int { return max(rng.IntN(25)-19, 0) },
			"by powers of two": func(rng *rand.Rand) int { return min(int(rng.ExpFloat64()), 5) },
		} {
			t.Run(fmt.Sprint(name, " ", limit.RatePerS), func(t *testing.T) {
				rejected, _ := simulate(limit, 0.95, true, pick)
				assert.Less(t, rejected, 0.001)
				_, admitted := simulate(limit, 8, false, pick)
				assert.GreaterOrEqual(t, admitted, 0.97)
				assert.LessOrEqual(t, admitted, 1.03)
			})
		}
	}
}

func TestRetryAfter(t *testing.T) {
	ledger := newShare(0, 6, Limit{RatePerS: 1000})
	require.Equal(t, minRetryAfter, ledger.RetryAfter(testTenant, 1))
	require.Equal(t, 500*time.Millisecond, ledger.RetryAfter(testTenant, 500))
	require.Equal(t, maxRetryAfter, ledger.RetryAfter(testTenant, 1e12))
	require.Equal(t, maxRetryAfter, ledger.RetryAfter("x", 1))
}
