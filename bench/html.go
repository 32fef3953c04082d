package bench

import (
	"fmt"
	"io"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/rotisserie/eris"
)

// WriteHTML writes a page with plots over the time of the run. The page loads
// the plotting script from the library's usual address, so it needs a network
// when it is opened.
func (r *Report) WriteHTML(w io.Writer) error {
	page := components.NewPage().SetPageTitle(fmt.Sprintf("%s, seed %d", r.Scenario, r.Seed))
	page.AddCharts(
		r.scatter("First token", "ms", func(p Point) float64 { return p.FirstTokenMS }),
		r.scatter("Longest time between tokens of a request", "ms", func(p Point) float64 { return p.MaxGapMS }),
		r.line("Tokens computed again", "tokens", func(s Sample) float64 { return float64(s.TokensPrefilledAgain) }),
		r.line("Share of the new version", "", func(s Sample) float64 { return s.NextShare }),
		r.line("Memory held for callers", "bytes", func(s Sample) float64 { return float64(s.HeldBytes) }),
	)
	return eris.Wrap(page.Render(w), "write the report")
}

func axes(title, unit string) []charts.GlobalOpts {
	return []charts.GlobalOpts{
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s", Type: "value"}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit, Type: "value"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(false)}),
	}
}

// marks are vertical lines at the faults.
func (r *Report) marks() charts.SeriesOpts {
	var items []opts.MarkLineNameXAxisItem
	for _, f := range r.Faults {
		items = append(items, opts.MarkLineNameXAxisItem{Name: f.Name, XAxis: f.AtSeconds})
	}
	return charts.WithMarkLineNameXAxisItemOpts(items...)
}

func (r *Report) scatter(title, unit string, value func(Point) float64) *charts.Scatter {
	c := charts.NewScatter()
	c.SetGlobalOptions(axes(title, unit)...)
	var data []opts.ScatterData
	for _, p := range r.Points {
		data = append(data, opts.ScatterData{Value: []float64{p.AtSeconds, value(p)}, SymbolSize: 4})
	}
	c.AddSeries(title, data, r.marks())
	return c
}

func (r *Report) line(title, unit string, value func(Sample) float64) *charts.Line {
	c := charts.NewLine()
	c.SetGlobalOptions(axes(title, unit)...)
	var data []opts.LineData
	for _, s := range r.Samples {
		data = append(data, opts.LineData{Value: []float64{s.AtSeconds, value(s)}, Symbol: "none"})
	}
	c.AddSeries(title, data, r.marks())
	return c
}
