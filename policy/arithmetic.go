package policy

import "math"

// finiteOrZero returns x, or 0 if x is negative, infinite or not a number.
func finiteOrZero(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// movingMean returns the exponential moving mean after x. A mean of 0 has no values yet and is replaced by x.
func movingMean(mean, x, weight float64) float64 {
	if mean == 0 {
		return x
	}
	return mean + weight*(x-mean)
}
