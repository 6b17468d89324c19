package command

import (
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

var cmdKeysList = &Command{
	Path:  []string{"keys", "list"},
	Short: "List the keys and their workspaces",
	New:   func(env *Env) flags.Commander { return &keysListOptions{env: env} },
}

type keysListOptions struct {
	env *Env
	clientOptions
}

// Execute lists the keys in the order in which they were issued.
func (o *keysListOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	state, err := client.State()
	if err != nil {
		return errFailed.Wrap(err, "reading the keys")
	}
	table := tabwriter.NewWriter(o.env.Stdout, 0, 0, 2, ' ', 0)
	for _, key := range state.GetKeys() {
		status := "valid"
		if key.GetWithdrawn() {
			status = "withdrawn"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", key.GetId(), key.GetWorkspace(), status)
	}
	return table.Flush()
}
