package inference

// linearFit is a running least-squares fit of a line in up to three features, held near a prior and
// forgetting with each sample.
type linearFit struct {
	features     int
	retention    float64 // what is left of the older samples after one more
	prior        [3]float64
	priorWeight  [3]float64 // of the prior, in squares of the features
	lower        [3]float64
	upper        [3]float64
	moments      [3][3]float64
	target       [3]float64
	coefficients [3]float64 // the coefficients
}

func newLinearFit(keep float64, prior, weight, least, most []float64) linearFit {
	f := linearFit{features: len(prior), retention: keep}
	copy(f.prior[:], prior)
	copy(f.priorWeight[:], weight)
	copy(f.lower[:], least)
	copy(f.upper[:], most)
	f.coefficients = f.prior
	return f
}

// predict is the fit's answer for the features.
func (f *linearFit) predict(x [3]float64) float64 {
	return f.coefficients[0]*x[0] + f.coefficients[1]*x[1] + f.coefficients[2]*x[2]
}

// observe takes a sample.
func (f *linearFit) observe(x [3]float64, y float64) {
	for i := range f.features {
		for j := range f.features {
			f.moments[i][j] = f.moments[i][j]*f.retention + x[i]*x[j]
		}
		f.target[i] = f.target[i]*f.retention + x[i]*y
	}
	f.solve()
}

// solve goes over the coefficients in turn: each takes what the others leave, within its bounds.
func (f *linearFit) solve() {
	for range 8 {
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
