package wharfreport

import (
	"encoding/json"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"wagtailwharf.example/wharf-load/wharfexperiment"
)

const (
	dirMode    = 0o755
	plotWidth  = 11 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 4 * vg.Millimeter
	labelAngle = 0.9 // radians
)

// ReadJSON reads a report from a file written by WriteJSON.
func ReadJSON(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var results []*wharfexperiment.Result
	if err := json.Unmarshal(data, &results); err != nil {
		return nil, err
	}
	report := New()
	for _, result := range results {
		report.Add(result)
	}
	return report, nil
}

// barSeries is a series of bars, one per experiment.
type barSeries struct {
	name  string
	value func(*wharfexperiment.Result) float64
}

// WritePlots writes bar charts of the results as SVG files to a directory.
func (r *Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	plots := []struct {
		file, title, unit string
		series            []barSeries
	}{
		{"first-token.svg", "First token", "ms", []barSeries{
			{"p50", func(result *wharfexperiment.Result) float64 { return result.FirstToken.P50 }},
			{"p99", func(result *wharfexperiment.Result) float64 { return result.FirstToken.P99 }},
		}},
		{"between-tokens.svg", "Between tokens", "ms", []barSeries{
			{"p50", func(result *wharfexperiment.Result) float64 { return result.BetweenTokens.P50 }},
			{"p99", func(result *wharfexperiment.Result) float64 { return result.BetweenTokens.P99 }},
		}},
		{"tokens.svg", "Tokens generated", "tokens/s", []barSeries{
			{"online", func(result *wharfexperiment.Result) float64 { return result.OnlineTokens }},
			{"batch", func(result *wharfexperiment.Result) float64 { return result.BatchTokens }},
		}},
		{"wrongful.svg", "Refused though within the rate", "share", []barSeries{
			{"wrongful", (*wharfexperiment.Result).WrongfulRate},
		}},
	}
	for _, p := range plots {
		if err := r.drawBars(filepath.Join(dir, p.file), p.title, p.unit, p.series); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) drawBars(path, title, unit string, series []barSeries) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	names := make([]string, 0, len(r.results))
	for _, result := range r.results {
		names = append(names, result.Name)
	}
	for i, s := range series {
		values := make(plotter.Values, 0, len(r.results))
		for _, result := range r.results {
			values = append(values, s.value(result))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(i) * barWidth
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = labelAngle
	p.X.Tick.Label.XAlign = -1
	return p.Save(plotWidth, plotHeight, path)
}
