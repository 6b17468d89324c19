package command

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

var cmdRulesShow = &Command{
	Path:  []string{"rules", "show"},
	Short: "Print the current rules",
	New:   func(env *Env) flags.Commander { return &rulesShowOptions{env: env} },
}

type rulesShowOptions struct {
	env *Env
	clientOptions
	ShowRevision bool `long:"show-revision" description:"print the rules revision to the standard error"`
}

// Execute prints the text of the rules exactly as it was applied.
func (o *rulesShowOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	state, err := client.State()
	if err != nil {
		return errFailed.Wrap(err, "reading the current rules")
	}
	if o.ShowRevision {
		_, _ = fmt.Fprintln(o.env.Stderr, state.GetRulesRevision())
	}
	_, err = io.WriteString(o.env.Stdout, state.GetRulesText())
	return err
}
