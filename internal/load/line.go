package load

import "math"

// line is a least-squares line through points.
type line struct {
	base, slope float64
	// residual is the root mean square of the residuals.
	residual float64
}

// fitLine returns the least-squares line of ys over xs, which must contain two different values.
func fitLine(xs, ys []float64) line {
	mx, my := mean(xs), mean(ys)
	var sxy, sxx, squares float64
	for i := range xs {
		sxy += (xs[i] - mx) * (ys[i] - my)
		sxx += (xs[i] - mx) * (xs[i] - mx)
	}
	l := line{slope: sxy / sxx}
	l.base = my - l.slope*mx
	for i := range xs {
		d := ys[i] - l.base - l.slope*xs[i]
		squares += d * d
	}
	l.residual = math.Sqrt(squares / float64(len(xs)))
	return l
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
