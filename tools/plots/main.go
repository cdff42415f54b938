// Command plots draws the tables that `thistlerudder emulate --budgets` writes as images for the docs.
package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

func main() {
	cmd := &cobra.Command{Use: "plots TABLE EXPERIMENT PICTURE TITLE", Short: "Draw how much of a budget was used over time", Args: cobra.ExactArgs(4),
		SilenceUsage: true, RunE: func(_ *cobra.Command, args []string) error { return drawExperiment(args[0], args[1], args[2], args[3]) }}
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

// drawExperiment draws one experiment of a table. The extension of the image path selects the image format.
func drawExperiment(tablePath, experiment, imagePath, title string) error {
	file, err := os.Open(tablePath)
	if err != nil {
		return err
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return fmt.Errorf("%s: %w", tablePath, err)
	}
	seriesNames := []string{"wanted", "used", "one exact limiter", "even parts"}
	series := make([]plotter.XYs, len(seriesNames))
	for i, row := range rows[min(1, len(rows)):] {
		if row[0] != experiment {
			continue
		}
		var values [6]float64
		for j := 1; j < len(row) && j < len(values); j++ {
			if values[j], err = strconv.ParseFloat(row[j], 64); err != nil {
				return fmt.Errorf("%s: line %d, field %d: expected a number: %w", tablePath, i+2, j+1, err)
			}
		}
		for j := range series {
			series[j] = append(series[j], plotter.XY{X: values[1], Y: values[2+j]})
		}
	}
	if len(series[0]) == 0 {
		return fmt.Errorf("%s: no lines of %q", tablePath, experiment)
	}
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, "seconds", "share of the whole"
	chart.Y.Min, chart.Legend.Top = 0, false
	for i, seriesName := range seriesNames {
		line, err := plotter.NewLine(series[i])
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		chart.Add(line)
		chart.Legend.Add(seriesName, line)
	}
	return chart.Save(16*vg.Centimeter, 8*vg.Centimeter, imagePath)
}
