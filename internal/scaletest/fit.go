package scaletest

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
)

// Point is one figure of a run.
type Point struct {
	Nodes, Real, Servers int
	Seed                 uint64
	Phase, Role, What    string // what it tells, with its unit
	Value                float64
}

var columns = []string{"nodes", "real", "servers", "seed", "phase", "role", "what", "value"}

// Write adds points to a file, with a line of headings where it is new.
func Write(w io.Writer, points []Point, headings bool) error {
	c := csv.NewWriter(w)
	if headings {
		_ = c.Write(columns)
	}
	for _, p := range points {
		_ = c.Write([]string{strconv.Itoa(p.Nodes), strconv.Itoa(p.Real), strconv.Itoa(p.Servers), strconv.FormatUint(p.Seed, 10),
			p.Phase, p.Role, p.What, strconv.FormatFloat(p.Value, 'g', 6, 64)})
	}
	c.Flush()
	return c.Error()
}

// ReadPoints reads what Write wrote.
func ReadPoints(r io.Reader) (all []Point, err error) {
	c := csv.NewReader(r)
	c.FieldsPerRecord = len(columns)
	rows, err := c.ReadAll()
	for i, row := range rows {
		if i == 0 && slices.Equal(row, columns) {
			continue
		}
		p := Point{Phase: row[4], Role: row[5], What: row[6]}
		var errs [5]error
		p.Nodes, errs[0] = strconv.Atoi(row[0])
		p.Real, errs[1] = strconv.Atoi(row[1])
		p.Servers, errs[2] = strconv.Atoi(row[2])
		p.Seed, errs[3] = strconv.ParseUint(row[3], 10, 64)
		p.Value, errs[4] = strconv.ParseFloat(row[7], 64)
		for _, e := range errs {
			if e != nil {
				return nil, fmt.Errorf("line %d: expected %v: %w", i+1, columns, e)
			}
		}
		all = append(all, p)
	}
	return all, err
}

// Line is a straight line through points, by least squares.
type Line struct {
	Phase, Role, What string
	At                []float64 // sizes, and the figures there
	Values            []float64
	Base, Slope       float64
	Residuals         []float64 // what was measured less the line
	R2                float64   // share of the values' spread that the line explains; 1 where they have none
}

// Value gives the line's at a size.
func (l *Line) Value(size float64) float64 { return l.Base + l.Slope*size }

// Worst gives the largest residual as a share of what was measured there, or of the largest value where that is 0.
func (l *Line) Worst() (worst float64) {
	for i, r := range l.Residuals {
		of := math.Abs(l.Values[i])
		if of == 0 {
			for _, v := range l.Values {
				of = max(of, math.Abs(v))
			}
		}
		if of > 0 {
			worst = max(worst, math.Abs(r)/of)
		}
	}
	return worst
}

// leastSquares fits values at sizes.
func leastSquares(at, values []float64) (base, slope float64, residuals []float64, r2 float64) {
	n, x, y := float64(len(at)), 0.0, 0.0
	for i := range at {
		x += at[i] / n
		y += values[i] / n
	}
	xx, xy, yy := 0.0, 0.0, 0.0
	for i := range at {
		xx += (at[i] - x) * (at[i] - x)
		xy += (at[i] - x) * (values[i] - y)
		yy += (values[i] - y) * (values[i] - y)
	}
	if xx > 0 {
		slope = xy / xx
	}
	base = y - slope*x
	left := 0.0
	for i := range at {
		r := values[i] - base - slope*at[i]
		residuals = append(residuals, r)
		left += r * r
	}
	if r2 = 1; yy > 0 {
		r2 = 1 - left/yy
	}
	return base, slope, residuals, r2
}

// Lines fits each figure over the nodes, or over the servers, whose points may be in any order. What has fewer than three sizes
// has no line.
func Lines(points []Point, byServers bool) (all []Line) {
	points = slices.Clone(points)
	slices.SortStableFunc(points, func(a, b Point) int {
		if byServers {
			return a.Servers - b.Servers
		}
		return a.Nodes - b.Nodes
	})
	type key struct{ phase, role, what string }
	var order []key
	at, values := map[key][]float64{}, map[key][]float64{}
	for _, p := range points {
		k, size := key{p.Phase, p.Role, p.What}, p.Nodes
		if byServers {
			size = p.Servers
		}
		if _, known := at[k]; !known {
			order = append(order, k)
		}
		at[k], values[k] = append(at[k], float64(size)), append(values[k], p.Value)
	}
	for _, k := range order {
		sizes := slices.Compact(slices.Sorted(slices.Values(at[k])))
		if len(sizes) < 3 {
			continue
		}
		l := Line{Phase: k.phase, Role: k.role, What: k.what, At: at[k], Values: values[k]}
		l.Base, l.Slope, l.Residuals, l.R2 = leastSquares(l.At, l.Values)
		all = append(all, l)
	}
	return all
}
