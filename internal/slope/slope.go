// Package slope prints measurements at several sizes together with the straight
// line that fits them.
package slope

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Table holds what was measured at several sizes, several times each.
type Table struct {
	Title string
	// Size names what the rows differ in, Columns what was measured, with units.
	Size    string
	Columns []string
	rows    []row
}

type row struct {
	size   float64
	values []float64
}

// Add adds one run at one size, with a value for each column.
func (t *Table) Add(size float64, values ...float64) {
	if len(values) != len(t.Columns) {
		panic(fmt.Sprintf("slope: %d values for %d columns of %q", len(values), len(t.Columns), t.Title))
	}
	t.rows = append(t.rows, row{size: size, values: values})
}

// Fit returns slope and intercept of the least squares line through the points.
// With fewer than two different sizes the slope is zero.
func Fit(sizes, values []float64) (slope, intercept float64) {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX, sumY = sumX+x, sumY+values[i]
		sumXX, sumXY = sumXX+x*x, sumXY+x*values[i]
	}
	if d := n*sumXX - sumX*sumX; d != 0 {
		slope = (n*sumXY - sumX*sumY) / d
	}
	return slope, (sumY - slope*sumX) / n
}

// Write prints the median and, where runs differ, the range of each column at
// each size, then the fits. The range of a slope is that of the fits of the
// first runs at all sizes, of the second runs, and so on.
func (t *Table) Write(w io.Writer) {
	fmt.Fprintf(w, "\n%s\n%s | %s\n", t.Title, t.Size, strings.Join(t.Columns, " | "))
	runs := t.runs()
	for _, r := range runs[0] {
		fmt.Fprintf(w, "%s", number(r.size))
		for i := range t.Columns {
			var values []float64
			for _, other := range t.rows {
				if other.size == r.size {
					values = append(values, other.values[i])
				}
			}
			fmt.Fprintf(w, " | %s", spread(values))
		}
		fmt.Fprintln(w)
	}
	for i, column := range t.Columns {
		var slopes, intercepts []float64
		for _, run := range runs {
			sizes, values := make([]float64, len(run)), make([]float64, len(run))
			for j, r := range run {
				sizes[j], values[j] = r.size, r.values[i]
			}
			slope, intercept := Fit(sizes, values)
			slopes, intercepts = append(slopes, slope), append(intercepts, intercept)
		}
		fmt.Fprintf(w, "fit: %s = %s per %s + %s\n", column, spread(slopes), t.Size, spread(intercepts))
	}
}

// runs returns the first run at each size, then the second ones, as far as all
// sizes have them.
func (t *Table) runs() [][]row {
	bySize := make(map[float64][]row)
	for _, r := range t.rows {
		bySize[r.size] = append(bySize[r.size], r)
	}
	var runs [][]row
	for i := 0; ; i++ {
		var run []row
		for _, rows := range bySize {
			if i < len(rows) {
				run = append(run, rows[i])
			}
		}
		if len(run) < len(bySize) || len(run) == 0 {
			return runs
		}
		slices.SortFunc(run, func(a, b row) int { return cmp.Compare(a.size, b.size) })
		runs = append(runs, run)
	}
}

func spread(values []float64) string {
	slices.Sort(values)
	least, most := number(values[0]), number(values[len(values)-1])
	if least == most {
		return least
	}
	return fmt.Sprintf("%s (%s..%s)", number(values[len(values)/2]), least, most)
}

func number(v float64) string {
	if v == float64(int64(v)) || v > 1e4 || v < -1e4 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
