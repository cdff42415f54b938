// Command plots draws the tables that `thistlerudder emulate --budgets` writes, for the docs.
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
	c := &cobra.Command{Use: "plots TABLE EXPERIMENT PICTURE TITLE", Short: "Draw how much of a budget was used over time", Args: cobra.ExactArgs(4),
		SilenceUsage: true, RunE: func(_ *cobra.Command, args []string) error { return draw(args[0], args[1], args[2], args[3]) }}
	if c.Execute() != nil {
		os.Exit(1)
	}
}

// draw makes a picture, of the kind that its name ends with, of one experiment of a table.
func draw(table, experiment, picture, title string) error {
	f, err := os.Open(table)
	if err != nil {
		return err
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return fmt.Errorf("%s: %w", table, err)
	}
	names := []string{"wanted", "used", "one exact limiter", "even parts"}
	lines := make([]plotter.XYs, len(names))
	for i, row := range rows[min(1, len(rows)):] {
		if row[0] != experiment {
			continue
		}
		var x [6]float64
		for j := 1; j < len(row) && j < len(x); j++ {
			if x[j], err = strconv.ParseFloat(row[j], 64); err != nil {
				return fmt.Errorf("%s: line %d, field %d: expected a number: %w", table, i+2, j+1, err)
			}
		}
		for j := range lines {
			lines[j] = append(lines[j], plotter.XY{X: x[1], Y: x[2+j]})
		}
	}
	if len(lines[0]) == 0 {
		return fmt.Errorf("%s: no lines of %q", table, experiment)
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", "share of the whole"
	p.Y.Min, p.Legend.Top = 0, false
	for i, name := range names {
		l, err := plotter.NewLine(lines[i])
		if err != nil {
			return err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(name, l)
	}
	return p.Save(16*vg.Centimeter, 8*vg.Centimeter, picture)
}
