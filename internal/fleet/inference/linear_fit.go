package inference

// maxFeatures is the number of features that a linearFit can have.
const maxFeatures = 3

// fitIterations is the number of coordinate descent iterations after each sample.
const fitIterations = 8

// linearFit is a running least-squares fit of a linear function. It is regularized towards a prior,
// its coefficients are bounded, and the weights of samples decay exponentially. Unused features are
// zero.
type linearFit struct {
	features     int     // number of features
	retention    float64 // factor on the weight of the older samples with each new one
	prior        [maxFeatures]float64
	priorWeight  [maxFeatures]float64              // in units of the squared features
	lower, upper [maxFeatures]float64              // bounds of the coefficients
	moments      [maxFeatures][maxFeatures]float64 // weighted sums of products of two features
	target       [maxFeatures]float64              // weighted sums of products of a feature and the observed value
	coefficients [maxFeatures]float64
}

// newLinearFit returns a fit whose coefficients are the prior. All slices have one item per feature.
func newLinearFit(retention float64, prior, priorWeight, lower, upper []float64) linearFit {
	f := linearFit{features: len(prior), retention: retention}
	copy(f.prior[:], prior)
	copy(f.priorWeight[:], priorWeight)
	copy(f.lower[:], lower)
	copy(f.upper[:], upper)
	f.coefficients = f.prior
	return f
}

// predict returns the function's value for the features x.
func (f *linearFit) predict(x [maxFeatures]float64) float64 {
	return f.coefficients[0]*x[0] + f.coefficients[1]*x[1] + f.coefficients[2]*x[2]
}

// observe adds a sample: the value y for the features x.
func (f *linearFit) observe(x [maxFeatures]float64, y float64) {
	for i := range f.features {
		for j := range f.features {
			f.moments[i][j] = f.moments[i][j]*f.retention + x[i]*x[j]
		}
		f.target[i] = f.target[i]*f.retention + x[i]*y
	}
	f.solve()
}

// solve refines the coefficients by coordinate descent: each is set to its optimum, within its
// bounds, for the current values of the others.
func (f *linearFit) solve() {
	for range fitIterations {
		for i := range f.features {
			residual := f.target[i] + f.priorWeight[i]*f.prior[i]
			for j := range f.features {
				if j != i {
					residual -= f.moments[i][j] * f.coefficients[j]
				}
			}
			f.coefficients[i] = min(max(residual/(f.moments[i][i]+f.priorWeight[i]), f.lower[i]), f.upper[i])
		}
	}
}
