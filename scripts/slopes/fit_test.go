package main

import (
	"math"
	"testing"
)

func TestLeastSquares(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want fit
	}{
		{"exact line", []float64{1, 2, 4}, []float64{5, 7, 11}, fit{slope: 2, intercept: 3, r2: 1}},
		{"zero slope", []float64{1, 2, 4}, []float64{5, 5, 5}, fit{slope: 0, intercept: 5, r2: 0}},
		{"scattered", []float64{0, 1, 2, 3}, []float64{0, 2, 1, 3}, fit{slope: 0.8, intercept: 0.3, r2: 0.64}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := leastSquares(c.x, c.y)
			for _, d := range []float64{got.slope - c.want.slope, got.intercept - c.want.intercept, got.r2 - c.want.r2} {
				if math.Abs(d) > 1e-9 {
					t.Fatalf("got %+v, want %+v", got, c.want)
				}
			}
		})
	}
}
