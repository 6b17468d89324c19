package command

import (
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/encoding/protojson"
)

var cmdExplain = &Command{
	Path:  []string{"explain"},
	Short: "Explain how a request would be routed",
	New:   func(env *Env) flags.Commander { return &explainOptions{env: env} },
}

type explainOptions struct {
	env *Env
	clientOptions
	JSON    bool   `long:"json" description:"print JSON"`
	Service string `long:"service" required:"yes" description:"service that is called"`
	Path    string `long:"path" default:"/" description:"path within the service"`
}

// Execute prints the steps of the routing decision and the candidate backend servers.
func (o *explainOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	explanation, err := client.Explain(o.Service, o.Path)
	if err != nil {
		return errFailed.Wrap(err, "asking for an explanation")
	}
	if o.JSON {
		_, _ = fmt.Fprintln(o.env.Stdout, protojson.MarshalOptions{UseProtoNames: true}.Format(explanation))
		return nil
	}
	for _, step := range explanation.GetSteps() {
		_, _ = fmt.Fprintln(o.env.Stdout, "-", step)
	}
	table := tabwriter.NewWriter(o.env.Stdout, 0, 0, 2, ' ', 0)
	for _, c := range explanation.GetCandidates() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d of %d slots\t%d ms\t%s\n", c.GetBackendServer(), c.GetRegion(),
			c.GetInFlight(), c.GetUsableSlots(), c.GetLatencyMs(), c.GetExcluded())
	}
	return table.Flush()
}
