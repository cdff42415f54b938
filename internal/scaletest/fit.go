package scaletest

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
)

// Measurement is a value that a run measured.
type Measurement struct {
	HollowNodes, RealNodes, CacheServers int
	Seed                                 uint64
	Phase, Role, Metric                  string // Metric includes the unit
	Value                                float64
}

// columns is the header row of a CSV file of measurements.
var columns = []string{"nodes", "real", "servers", "seed", "phase", "role", "what", "value"}

// WriteMeasurements writes measurements as CSV. If withHeader is set, it writes the header row first.
func WriteMeasurements(w io.Writer, measurements []Measurement, withHeader bool) error {
	c := csv.NewWriter(w)
	if withHeader {
		_ = c.Write(columns)
	}
	for _, m := range measurements {
		_ = c.Write([]string{strconv.Itoa(m.HollowNodes), strconv.Itoa(m.RealNodes), strconv.Itoa(m.CacheServers), strconv.FormatUint(m.Seed, 10),
			m.Phase, m.Role, m.Metric, strconv.FormatFloat(m.Value, 'g', 6, 64)})
	}
	c.Flush()
	return c.Error()
}

// ReadMeasurements reads the output of WriteMeasurements, with or without the header row.
func ReadMeasurements(r io.Reader) (measurements []Measurement, err error) {
	c := csv.NewReader(r)
	c.FieldsPerRecord = len(columns)
	rows, err := c.ReadAll()
	for i, row := range rows {
		if i == 0 && slices.Equal(row, columns) {
			continue
		}
		m := Measurement{Phase: row[4], Role: row[5], Metric: row[6]}
		var errs [5]error
		m.HollowNodes, errs[0] = strconv.Atoi(row[0])
		m.RealNodes, errs[1] = strconv.Atoi(row[1])
		m.CacheServers, errs[2] = strconv.Atoi(row[2])
		m.Seed, errs[3] = strconv.ParseUint(row[3], 10, 64)
		m.Value, errs[4] = strconv.ParseFloat(row[7], 64)
		for _, e := range errs {
			if e != nil {
				return nil, fmt.Errorf("line %d: expected %v: %w", i+1, columns, e)
			}
		}
		measurements = append(measurements, m)
	}
	return measurements, err
}

// FittedLine is a straight line fitted to the values of a metric by least squares.
type FittedLine struct {
	Phase, Role, Metric string
	Sizes               []float64 // the number of hollow nodes or of cache servers for each of Values
	Values              []float64
	Intercept, Slope    float64
	Residuals           []float64 // measured values minus predicted values
	R2                  float64   // coefficient of determination; 1 if all values are equal
}

// Predict returns the line's value at a size, a number of hollow nodes or of cache servers as in Sizes.
func (l *FittedLine) Predict(size float64) float64 { return l.Intercept + l.Slope*size }

// WorstRelativeResidual returns the largest ratio of a residual to its measured value, both absolute. If a measured value is 0, the
// residual is divided by the largest absolute value of the metric instead.
func (l *FittedLine) WorstRelativeResidual() (worst float64) {
	for i, r := range l.Residuals {
		reference := math.Abs(l.Values[i])
		if reference == 0 {
			for _, v := range l.Values {
				reference = max(reference, math.Abs(v))
			}
		}
		if reference > 0 {
			worst = max(worst, math.Abs(r)/reference)
		}
	}
	return worst
}

// leastSquares fits a line to the values, which were measured at the sizes. The variations are sums of squared deviations from the
// mean, and the covariation is the sum of products of the deviations.
func leastSquares(sizes, values []float64) (intercept, slope float64, residuals []float64, r2 float64) {
	n, meanSize, meanValue := float64(len(sizes)), 0.0, 0.0
	for i := range sizes {
		meanSize += sizes[i] / n
		meanValue += values[i] / n
	}
	sizeVariation, covariation, valueVariation := 0.0, 0.0, 0.0
	for i := range sizes {
		sizeVariation += (sizes[i] - meanSize) * (sizes[i] - meanSize)
		covariation += (sizes[i] - meanSize) * (values[i] - meanValue)
		valueVariation += (values[i] - meanValue) * (values[i] - meanValue)
	}
	if sizeVariation > 0 {
		slope = covariation / sizeVariation
	}
	intercept = meanValue - slope*meanSize
	squaredResidualSum := 0.0
	for i := range sizes {
		residual := values[i] - intercept - slope*sizes[i]
		residuals = append(residuals, residual)
		squaredResidualSum += residual * residual
	}
	if r2 = 1; valueVariation > 0 {
		r2 = 1 - squaredResidualSum/valueVariation
	}
	return intercept, slope, residuals, r2
}

// FitLines fits a line to each metric of each phase and role, as a function of the number of cache servers if byServers is set, else
// of the number of hollow nodes. The measurements may be in any order. Metrics measured at fewer than three sizes are left out.
func FitLines(measurements []Measurement, byServers bool) (lines []FittedLine) {
	measurements = slices.Clone(measurements)
	slices.SortStableFunc(measurements, func(a, b Measurement) int {
		if byServers {
			return a.CacheServers - b.CacheServers
		}
		return a.HollowNodes - b.HollowNodes
	})
	type key struct{ phase, role, metric string }
	var keyOrder []key
	sizes, values := map[key][]float64{}, map[key][]float64{}
	for _, m := range measurements {
		k, size := key{m.Phase, m.Role, m.Metric}, m.HollowNodes
		if byServers {
			size = m.CacheServers
		}
		if _, seen := sizes[k]; !seen {
			keyOrder = append(keyOrder, k)
		}
		sizes[k], values[k] = append(sizes[k], float64(size)), append(values[k], m.Value)
	}
	for _, k := range keyOrder {
		distinctSizes := slices.Compact(slices.Sorted(slices.Values(sizes[k])))
		if len(distinctSizes) < 3 {
			continue
		}
		l := FittedLine{Phase: k.phase, Role: k.role, Metric: k.metric, Sizes: sizes[k], Values: values[k]}
		l.Intercept, l.Slope, l.Residuals, l.R2 = leastSquares(l.Sizes, l.Values)
		lines = append(lines, l)
	}
	return lines
}
