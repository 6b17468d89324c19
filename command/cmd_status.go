package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/encoding/protojson"
)

var cmdStatus = &Command{
	Path:  []string{"status"},
	Short: "Show the status of each entry instance",
	New:   func(env *Env) flags.Commander { return &statusOptions{env: env} },
}

type statusOptions struct {
	env *Env
	clientOptions
	JSON bool `long:"json" description:"print one JSON object per line"`
}

// Execute prints one line per instance. It fails if an instance does not respond.
func (o *statusOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	statuses, failed := client.Statuses()
	if o.JSON {
		err = o.printJSON(statuses)
	} else {
		err = o.printTable(statuses)
	}
	if err != nil {
		return errFailed.Wrap(err, "printing the status")
	}
	if len(failed) > 0 {
		return errFailed.New("no answer from %s", strings.Join(failed, ", "))
	}
	return nil
}

func (o *statusOptions) printJSON(statuses []*wire.Status) error {
	options := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	for _, status := range statuses {
		line, err := options.Marshal(status)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(o.env.Stdout, "%s\n", line); err != nil {
			return err
		}
	}
	return nil
}

func (o *statusOptions) printTable(statuses []*wire.Status) error {
	table := tabwriter.NewWriter(o.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tREGION\tREVISION\tAUTHORITY\tSTORE\tSLOTS\tPEERS\tSTOPPING")
	for _, s := range statuses {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%t\t%d\t%d\t%t\n", s.GetInstance(), s.GetRegion(), s.GetRevision(),
			s.GetAuthority(), s.GetStoreFresh(), s.GetSlotsHeld(), len(s.GetPeersHeard()), s.GetStopping())
	}
	return table.Flush()
}
