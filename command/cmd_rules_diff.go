package command

import (
	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/diff"
)

var cmdRulesDiff = &Command{
	Path:  []string{"rules", "diff"},
	Short: "Show how a rules file differs from the current rules",
	New:   func(env *Env) flags.Commander { return &rulesDiffOptions{env: env} },
}

type rulesDiffOptions struct {
	env *Env
	clientOptions
	rulesFileArgument
}

// Execute prints a unified diff, or nothing if the texts are equal.
func (o *rulesDiffOptions) Execute([]string) error {
	text, _, err := readRules(o.env, o.Args.File)
	if err != nil {
		return err
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	state, err := client.State()
	if err != nil {
		return errFailed.Wrap(err, "reading the current rules")
	}
	out := diff.Diff("in force", []byte(state.GetRulesText()), o.Args.File, []byte(text))
	_, _ = o.env.Stdout.Write(out)
	return nil
}
