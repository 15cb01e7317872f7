package inference

// fit is a running least-squares fit of a line in up to three features, held near a prior and
// forgetting with each sample.
type fit struct {
	n       int
	keep    float64 // what is left of the older samples after one more
	prior   [3]float64
	weight  [3]float64 // of the prior, in squares of the features
	least   [3]float64
	most    [3]float64
	moments [3][3]float64
	target  [3]float64
	at      [3]float64 // the coefficients
}

func newFit(keep float64, prior, weight, least, most []float64) fit {
	f := fit{n: len(prior), keep: keep}
	copy(f.prior[:], prior)
	copy(f.weight[:], weight)
	copy(f.least[:], least)
	copy(f.most[:], most)
	f.at = f.prior
	return f
}

// value is the fit's answer for the features.
func (f *fit) value(x [3]float64) float64 {
	return f.at[0]*x[0] + f.at[1]*x[1] + f.at[2]*x[2]
}

// add takes a sample.
func (f *fit) add(x [3]float64, y float64) {
	for i := range f.n {
		for j := range f.n {
			f.moments[i][j] = f.moments[i][j]*f.keep + x[i]*x[j]
		}
		f.target[i] = f.target[i]*f.keep + x[i]*y
	}
	f.solve()
}

// solve goes over the coefficients in turn: each takes what the others leave, within its bounds.
func (f *fit) solve() {
	for range 8 {
		for i := range f.n {
			rest := f.target[i] + f.weight[i]*f.prior[i]
			for j := range f.n {
				if j != i {
					rest -= f.moments[i][j] * f.at[j]
				}
			}
			f.at[i] = min(max(rest/(f.moments[i][i]+f.weight[i]), f.least[i]), f.most[i])
		}
	}
}
