package report

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var (
	faultColor = color.NRGBA{R: 200, G: 60, B: 60, A: 40}
	lineColors = []color.Color{color.RGBA{R: 0x1b, G: 0x7a, B: 0x3d, A: 255},
		color.RGBA{R: 0xd9, G: 0x82, B: 0x1a, A: 255}, color.RGBA{R: 0x1f, G: 0x5f, B: 0xb4, A: 255},
		color.RGBA{R: 0xb0, G: 0x2a, B: 0x2a, A: 255}, color.RGBA{R: 0x6b, G: 0x4c, B: 0x9a, A: 255}}
)

// curve is one line of a plot, with a value for each second.
type curve struct {
	name string
	at   func(*Second) float64
}

// plots writes the plots of the agents' play into a directory and returns their file names.
func (r *Report) plots(dir string) (names []string, err error) {
	percent := func(count func(*Second) int) func(*Second) float64 {
		return func(s *Second) float64 { return 100 * float64(count(s)) / float64(max(s.Asked, 1)) }
	}
	for _, p := range []struct {
		file, title, y string
		curves         []curve
	}{
		{"outcomes.svg", "What came of the requests", "% of those asked", []curve{
			{"served in time", percent(func(s *Second) int { return s.Served })},
			{"late", percent(func(s *Second) int { return s.Late })},
			{"refused", percent(func(s *Second) int { return s.Refused })},
			{"failed", percent(func(s *Second) int { return s.Failed })}}},
		{"latency.svg", "Time from when a request was meant to be sent", "ms", []curve{
			{"p50", func(s *Second) float64 { return s.P50 }}, {"p90", func(s *Second) float64 { return s.P90 }},
			{"p99", func(s *Second) float64 { return s.P99 }}, {"p99.9", func(s *Second) float64 { return s.P999 }}}},
		{"crossing.svg", "Attempts that cross zones", "% of attempts", []curve{
			{"cross zones", func(s *Second) float64 {
				return 100 * float64(s.CrossZone) / float64(max(s.Attempts, 1))
			}}}},
	} {
		if err := r.plot(filepath.Join(dir, p.file), p.title, p.y, p.curves); err != nil {
			return nil, err
		}
		names = append(names, p.file)
	}
	return names, nil
}

// plot writes one plot to a file.
func (r *Report) plot(path, title, y string, curves []curve) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = r.Name+": "+title, "s", y
	p.Legend.Top = true
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, float64(len(r.Plays[0].Seconds))
	highest := 1.0
	drawn := make([]plotter.XYs, len(curves))
	for i, c := range curves {
		for j := range r.Plays[0].Seconds {
			v := c.at(&r.Plays[0].Seconds[j])
			if math.IsNaN(v) || math.IsInf(v, 0) {
				v = 0
			}
			highest = max(highest, v)
			drawn[i] = append(drawn[i], plotter.XY{X: float64(j) + 0.5, Y: v})
		}
	}
	// The grid and the periods of faults are drawn behind the lines.
	p.Y.Max = highest * 1.4 // leaves room for the legend
	p.Add(plotter.NewGrid())
	for _, f := range r.Faults {
		from, to := f.From.Seconds(), max(f.To.Seconds(), f.From.Seconds()+0.2)
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0},
			{X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("report: %s: %w", path, err)
		}
		box.Color, box.LineStyle.Width = faultColor, 0
		p.Add(box)
	}
	for i, c := range curves {
		l, err := plotter.NewLine(drawn[i])
		if err != nil {
			return fmt.Errorf("report: %s: %w", path, err)
		}
		l.Color, l.Width = lineColors[i%len(lineColors)], vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	if err := p.Save(18*vg.Centimeter, 8*vg.Centimeter, path); err != nil {
		return fmt.Errorf("report: %s: %w", path, err)
	}
	return nil
}
