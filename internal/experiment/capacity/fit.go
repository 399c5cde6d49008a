package capacity

import "math"

// Point is one measurement.
type Point struct{ Size, Value float64 }

// Line is a fitted line: Value = Base + Slope*Size.
type Line struct {
	Base, Slope float64
	// Residual is the largest distance of a point from the line, relative to the point's value.
	Residual float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the least-squares line of the relative distances. Distances are relative because the
// sizes span three decades and the small ones are those of today's fleets.
func Fit(points []Point) Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		w := 1 / (p.Value * p.Value)
		n += w
		sx += w * p.Size
		sy += w * p.Value
		sxx += w * p.Size * p.Size
		sxy += w * p.Size * p.Value
	}
	var l Line
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Base = (sy - l.Slope*sx) / n
	for _, p := range points {
		l.Residual = max(l.Residual, math.Abs(p.Value-l.At(p.Size))/p.Value)
	}
	return l
}
