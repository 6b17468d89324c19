package command

import (
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bulrushferry/bulrushferry/objective"
	"github.com/jessevdk/go-flags"
)

var cmdReportBurn = &Command{
	Path:  []string{"report", "burn"},
	Short: "Report how fast the error budgets of the objectives are used",
	New:   func(env *Env) flags.Commander { return &reportBurnOptions{env: env} },
}

type reportBurnOptions struct {
	env *Env
	remote
	JSON bool   `long:"json" description:"print JSON"`
	HTML string `long:"html" value-name:"FILE" description:"write a page with a plot"`
}

// Execute gathers the counts of all instances and reports on them.
func (o *reportBurnOptions) Execute([]string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	state, err := client.State()
	if err != nil {
		return errFailed.Wrap(err, "reading the objectives")
	}
	reports, silent := client.BurnReports()
	burns := objective.Merge(reports, state.GetRules().GetObjectives())
	if err := o.print(burns); err != nil {
		return errFailed.Wrap(err, "writing the report")
	}
	if len(silent) > 0 {
		return errFailed.New("the report lacks %s, which gave no answer", strings.Join(silent, ", "))
	}
	return nil
}

func (o *reportBurnOptions) print(burns []objective.Burn) error {
	if o.HTML != "" {
		file, err := os.Create(o.HTML)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		return burnPage.Execute(file, burnBars(burns))
	}
	if o.JSON {
		encoder := json.NewEncoder(o.env.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(burns)
	}
	table := tabwriter.NewWriter(o.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tWORKSPACE\tWINDOW\tREQUESTS\tBAD\tBURN\tBUDGET LEFT")
	for _, b := range burns {
		window := time.Duration(b.WindowMs) * time.Millisecond
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%.2f\t%.0f %%\n", b.Service, b.Workspace, window, b.Total, b.Bad, b.Rate, 100*b.BudgetLeft)
	}
	return table.Flush()
}

// burnBar is one bar of the page's plot.
type burnBar struct {
	objective.Burn
	Window string
	Y      int
	Width  float64
	Color  string
}

const (
	barHeight    = 22
	barScale     = 20.0
	maxBarWidth  = 500.0
	fastBurnRate = 14.4
)

func burnBars(burns []objective.Burn) []burnBar {
	bars := make([]burnBar, 0, len(burns))
	for i, b := range burns {
		color := "#2a7"
		if b.Rate > 1 {
			color = "#e90"
		}
		if b.Rate > fastBurnRate {
			color = "#c22"
		}
		bars = append(bars, burnBar{
			Burn:   b,
			Window: (time.Duration(b.WindowMs) * time.Millisecond).String(),
			Y:      i * barHeight,
			Width:  min(b.Rate*barScale, maxBarWidth) + 1,
			Color:  color,
		})
	}
	return bars
}

var burnPage = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}svg text{font-size:12px}</style></head><body>
<h1>Service-level burn</h1>
<p>Length: how many times faster than allowed the error budget is used.</p>
<svg xmlns="http://www.w3.org/2000/svg" width="1000" height="{{len .}}0" viewBox="0 0 1000 {{len .}}0" style="height:auto;overflow:visible">
{{range .}}<text x="0" y="{{.Y}}" dy="14">{{.Service}} {{.Workspace}} {{.Window}}</text>
<rect x="320" y="{{.Y}}" width="{{.Width}}" height="16" fill="{{.Color}}"/>
<text x="850" y="{{.Y}}" dy="14">{{printf "%.2f" .Rate}} ({{.Bad}} of {{.Total}})</text>
{{end}}</svg></body></html>
`))
