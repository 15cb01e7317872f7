package inference

// maxFeatures is the number of features that a linearFit can have.
const maxFeatures = 3

// fitIterations is how often a sample refines the coefficients.
const fitIterations = 8

// linearFit is a running least-squares fit of a linear function, regularized towards a prior, with bounded
// coefficients and exponentially fading samples. Unused features are zero.
type linearFit struct {
	features     int
	retention    float64 // weight that the older samples keep with each new one
	prior        [maxFeatures]float64
	priorWeight  [maxFeatures]float64 // in squares of the features
	lower, upper [maxFeatures]float64 // bounds of the coefficients
	moments      [maxFeatures][maxFeatures]float64
	target       [maxFeatures]float64
	coefficients [maxFeatures]float64
}

// newLinearFit returns a fit that gives its prior. All slices have an item for each feature.
func newLinearFit(retention float64, prior, priorWeight, lower, upper []float64) linearFit {
	f := linearFit{features: len(prior), retention: retention}
	copy(f.prior[:], prior)
	copy(f.priorWeight[:], priorWeight)
	copy(f.lower[:], lower)
	copy(f.upper[:], upper)
	f.coefficients = f.prior
	return f
}

// predict is the function's value.
func (f *linearFit) predict(x [maxFeatures]float64) float64 {
	return f.coefficients[0]*x[0] + f.coefficients[1]*x[1] + f.coefficients[2]*x[2]
}

// observe adds a sample.
func (f *linearFit) observe(x [maxFeatures]float64, y float64) {
	for i := range f.features {
		for j := range f.features {
			f.moments[i][j] = f.moments[i][j]*f.retention + x[i]*x[j]
		}
		f.target[i] = f.target[i]*f.retention + x[i]*y
	}
	f.solve()
}

// solve improves the coefficients by coordinate descent: each takes what the others leave, within
// its bounds.
func (f *linearFit) solve() {
	for range fitIterations {
		for i := range f.features {
			rest := f.target[i] + f.priorWeight[i]*f.prior[i]
			for j := range f.features {
				if j != i {
					rest -= f.moments[i][j] * f.coefficients[j]
				}
			}
			f.coefficients[i] = min(max(rest/(f.moments[i][i]+f.priorWeight[i]), f.lower[i]), f.upper[i])
		}
	}
}
