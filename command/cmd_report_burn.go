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

type (
	reportBurnOptions struct {
		env *Env
		clientOptions
		JSON bool   `long:"json" description:"print JSON"`
		HTML string `long:"html" value-name:"FILE" description:"write an HTML page with a bar chart"`
	}

	// burnBar is one bar of the chart. Y and Width are in pixels.
	burnBar struct {
		objective.Burn
		Window string
		Y      int
		Width  float64
		Color  string
	}
)

const (
	rowHeightPx   = 22
	pxPerBurnRate = 20.0
	maxBarWidthPx = 500.0
	// fastBurnRate consumes 2 % of a 30-day error budget in an hour, the threshold at
	// which the Site Reliability Workbook pages.
	fastBurnRate = 14.4
)

var (
	cmdReportBurn = &Command{
		Path:  []string{"report", "burn"},
		Short: "Report the burn rates of the objectives' error budgets",
		New:   func(env *Env) flags.Commander { return &reportBurnOptions{env: env} },
	}

	burnPage = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Error budget burn rates</title>
<style>body{font-family:sans-serif;margin:2em}svg text{font-size:12px}</style></head><body>
<h1>Error budget burn rates</h1>
<p>The length of a bar shows the burn rate: how many times faster than the objective allows the error budget is consumed.</p>
<svg xmlns="http://www.w3.org/2000/svg" width="1000" height="{{len .}}0" viewBox="0 0 1000 {{len .}}0" style="height:auto;overflow:visible">
{{range .}}<text x="0" y="{{.Y}}" dy="14">{{.Service}} {{.Workspace}} {{.Window}}</text>
<rect x="320" y="{{.Y}}" width="{{.Width}}" height="16" fill="{{.Color}}"/>
<text x="850" y="{{.Y}}" dy="14">{{printf "%.2f" .Rate}} ({{.Bad}} of {{.Total}})</text>
{{end}}</svg></body></html>
`))
)

// Execute sums the request counts of all instances and reports the burn rates. It fails
// if an instance does not respond.
func (o *reportBurnOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	state, err := client.State()
	if err != nil {
		return errFailed.Wrap(err, "reading the objectives")
	}
	reports, failed := client.BurnReports()
	burns := objective.Merge(reports, state.GetRules().GetObjectives())
	if err := o.print(burns); err != nil {
		return errFailed.Wrap(err, "writing the report")
	}
	if len(failed) > 0 {
		return errFailed.New("the report is incomplete: no answer from %s", strings.Join(failed, ", "))
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
			Y:      i * rowHeightPx,
			Width:  min(b.Rate*pxPerBurnRate, maxBarWidthPx) + 1,
			Color:  color,
		})
	}
	return bars
}
