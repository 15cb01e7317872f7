package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const lasts = 2500 * time.Millisecond

// clock ticks a table as its owner does.
type clock struct {
	*Table
	now time.Duration
}

func newClock() *clock { return &clock{New(lasts), time.Second} }

// run ticks for that long and returns what has lapsed at its end.
func (c *clock) run(d time.Duration) (lapsed []string) {
	for end := c.now + d; c.now < end; {
		c.now += min(200*time.Millisecond, end-c.now)
		lapsed = c.Expired(c.now)
	}
	return lapsed
}

func TestALeaseLapsesWhenNobodyHoldsIt(t *testing.T) {
	c := newClock()
	c.Grant(c.now, "a", "h1")
	c.Grant(c.now, "a", "h2")
	assert.Empty(t, c.run(time.Minute), "a held one never lapses")
	c.Revoke(c.now, "a", "h1")
	c.Revoke(c.now, "a", "h1") // twice is once
	c.Revoke(c.now, "a", "h3") // it held none
	c.Revoke(c.now, "b", "h1") // of nobody
	assert.True(t, c.Granted("a"))
	assert.Empty(t, c.run(time.Minute), "another hub holds it")
	c.Revoke(c.now, "a", "h2")
	assert.False(t, c.Granted("a"))
	assert.Empty(t, c.run(lasts))
	c.Revoke(c.now, "a", "h2") // a late word renews nothing
	assert.Equal(t, []string{"a"}, c.run(time.Millisecond))
	c.Remove(c.now, "a")
	assert.Empty(t, c.run(time.Minute))
	assert.Empty(t, c.leases)
}

func TestAGrantInTimeKeepsIt(t *testing.T) {
	c := newClock()
	c.Grant(c.now, "a", "h1")
	c.Revoke(c.now, "a", "h1")
	require.Empty(t, c.run(lasts))
	c.Grant(c.now, "a", "h2")
	assert.Empty(t, c.run(time.Minute))
	c.Revoke(c.now, "a", "h2")
	assert.Empty(t, c.run(lasts), "it has its whole time again")
	assert.Equal(t, []string{"a"}, c.run(time.Millisecond))
}

// A source that is there without a lease has the time of one to get it.
func TestSeenWithoutLease(t *testing.T) {
	c := newClock()
	c.Observe(c.now, "a")
	require.Empty(t, c.run(lasts))
	c.Observe(c.now, "a") // its news renews nothing
	assert.Equal(t, []string{"a"}, c.run(time.Millisecond))
	assert.False(t, c.Granted("a"))
	assert.False(t, c.Granted("nobody"))
}

// With a hub go the leases that it held, not those that others hold.
func TestTheEndOfAHub(t *testing.T) {
	c := newClock()
	c.Grant(c.now, "a", "h1")
	c.Grant(c.now, "b", "h1")
	c.Grant(c.now, "b", "h2")
	c.Grant(c.now, "h1", "h2")
	c.Remove(c.now, "h1")
	assert.False(t, c.Granted("a"))
	assert.True(t, c.Granted("b"))
	assert.False(t, c.Granted("h1"))
	assert.Equal(t, []string{"a"}, c.run(lasts+time.Millisecond))
}

// A process that was frozen knows nothing of the time that it slept.
func TestAFreezeGivesLeasesTheirTimeAgain(t *testing.T) {
	c := newClock()
	c.Grant(c.now, "a", "h1")
	c.Revoke(c.now, "a", "h1")
	require.Empty(t, c.run(lasts-time.Millisecond))
	c.now += 10 * time.Second
	assert.Empty(t, c.Expired(c.now))
	assert.Empty(t, c.run(lasts))
	assert.Equal(t, []string{"a"}, c.run(time.Millisecond))
}

// Whatever several hubs grant, release and end in any order, what lapses is what no living hub has
// held for as long as a lease lasts, and nothing is kept of what has ended.
func TestLeasesOfSeveralHubs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		held := map[string]map[string]bool{}
		free := map[string]time.Duration{}
		see := func(a string) {
			if held[a] == nil {
				held[a], free[a] = map[string]bool{}, c.now
			}
		}
		release := func(a, h string) {
			if held[a][h] {
				if delete(held[a], h); len(held[a]) == 0 {
					free[a] = c.now
				}
			}
		}
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "n")) })
		t.Repeat(map[string]func(*rapid.T){
			"see": func(t *rapid.T) { a := name.Draw(t, "a"); c.Observe(c.now, a); see(a) },
			"grant": func(t *rapid.T) {
				a, h := name.Draw(t, "a"), name.Draw(t, "h")
				c.Grant(c.now, a, h)
				see(a)
				held[a][h] = true
			},
			"release": func(t *rapid.T) {
				a, h := name.Draw(t, "a"), name.Draw(t, "h")
				c.Revoke(c.now, a, h)
				release(a, h)
			},
			"end": func(t *rapid.T) {
				h := name.Draw(t, "h")
				c.Remove(c.now, h)
				delete(held, h)
				for a := range held {
					release(a, h)
				}
			},
			"tick": func(t *rapid.T) {
				c.now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
				want := []string{}
				for i := range 5 {
					a := fmt.Sprint("n", i)
					if by, ok := held[a]; ok && len(by) == 0 && c.now-free[a] > lasts {
						want = append(want, a)
					}
				}
				require.ElementsMatch(t, want, c.Expired(c.now))
			},
			"": func(t *rapid.T) {
				require.Len(t, c.leases, len(held))
				for a, by := range held {
					require.Equal(t, len(by) > 0, c.Granted(a))
				}
			},
		})
	})
}

func TestLeasesAreBounded(t *testing.T) {
	c := newClock()
	for i := range 2 * maxLeases {
		c.Grant(c.now, fmt.Sprint("a", i), "h1")
		c.Observe(c.now, fmt.Sprint("b", i))
	}
	assert.Len(t, c.leases, maxLeases)
	c.Remove(c.now, "a0")
	c.Grant(c.now, "new", "h1")
	assert.True(t, c.Granted("new"))
}
