package pick

import (
	"math"
	"time"
)

var (
	splitMode  = 1
	splitWork  = 60.0
	splitScale = 1.0
)

// split parts the servers between heavy prompts and light ones.
type split struct {
	all, big fading
	mean     [10]float64
}

func (x *split) heavy(u int, r *Request, work float64, now time.Duration) bool {
	if x.mean[u] == 0 {
		x.mean[u] = work
	}
	x.mean[u] += 0.02 * (work - x.mean[u])
	is := x.mean[u] > splitWork
	if splitMode == 2 {
		is = work > splitWork
	}
	x.all = fading{x.all.value(now) + work, now}
	if is {
		x.big = fading{x.big.value(now) + work, now}
	}
	return is
}

func (x *split) servers(now time.Duration, n int) int {
	if splitMode == 0 || n < 4 {
		return 0
	}
	share := x.big.value(now) / (x.all.value(now) + 1)
	if share < 0.05 || share > 0.95 {
		return 0
	}
	return min(max(int(math.Round(share*splitScale*float64(n))), 1), n-1)
}
