package main

import "math"

// fit is a linear least-squares fit, y = intercept + slope·x.
type fit struct {
	slope, intercept float64
	// r2 is the coefficient of determination.
	r2 float64
}

func leastSquares(x, y []float64) fit {
	n := float64(len(x))
	var sx, sy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
	}
	mx, my := sx/n, sy/n
	var sxx, sxy, syy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	f := fit{slope: sxy / math.Max(sxx, math.SmallestNonzeroFloat64)}
	f.intercept = my - f.slope*mx
	if syy > 0 {
		f.r2 = sxy * sxy / (sxx * syy)
	}
	return f
}
