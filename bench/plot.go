package main

import (
	"html/template"
	"os"
)

const (
	plotRowHeight   = 20
	plotPixelsPerMs = 0.8
)

var plotPage = template.Must(template.New("plot").Funcs(template.FuncMap{
	"y":     func(i int) int { return 30 + i*plotRowHeight },
	"width": func(ms float64) float64 { return min(ms*plotPixelsPerMs, 600) },
}).Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="1000" height="{{y (len .)}}" font-family="sans-serif" font-size="12">
<text x="10" y="18">Latency of each run: median (dark) and 99th percentile (light), ms</text>
{{range $i, $r := .}}<text x="10" y="{{y $i}}" dy="12">{{$r.Case}}, seed {{$r.Seed}}</text>
<rect x="260" y="{{y $i}}" width="{{width $r.P99Ms}}" height="14" fill="#9cd"/>
<rect x="260" y="{{y $i}}" width="{{width $r.P50Ms}}" height="14" fill="#257"/>
<text x="880" y="{{y $i}}" dy="12">{{printf "%.0f / %.0f" $r.P50Ms $r.P99Ms}}</text>
{{end}}</svg>
`))

// plot writes a bar chart of the latencies of all results as an SVG file.
func plot(path string, results []caseResult) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := plotPage.Execute(file, results); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
