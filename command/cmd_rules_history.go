package command

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

var cmdRulesHistory = &Command{
	Path:  []string{"rules", "history"},
	Short: "List the accepted rules files, or print one of them",
	New:   func(env *Env) flags.Commander { return &rulesHistoryOptions{env: env} },
}

type rulesHistoryOptions struct {
	env *Env
	clientOptions
	Revision int64 `long:"revision" description:"print the rules of this revision"`
}

// Execute lists the revisions of the rules with the operators who made them and the ids of
// the changes, or prints the rules of one revision.
func (o *rulesHistoryOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	history, err := client.History()
	if err != nil {
		return errFailed.Wrap(err, "reading the rules' history")
	}
	for _, entry := range history.GetEntries() {
		change := entry.GetChange()
		switch o.Revision {
		case 0:
			_, _ = fmt.Fprintf(o.env.Stdout, "%d\t%s\t%s\n", change.GetRevision(), change.GetWho(), change.GetId())
		case change.GetRevision():
			_, _ = fmt.Fprint(o.env.Stdout, entry.GetRulesText())
			return nil
		}
	}
	if o.Revision != 0 {
		return errFailed.New("there is no rules file of revision %d", o.Revision)
	}
	return nil
}
