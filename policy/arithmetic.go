package policy

import "math"

// finiteOrZero is x, or 0 where x is negative, infinite or not a number.
func finiteOrZero(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// movingMean moves an exponential mean towards x; the first value replaces a mean of 0.
func movingMean(mean, x, weight float64) float64 {
	if mean == 0 {
		return x
	}
	return mean + weight*(x-mean)
}
