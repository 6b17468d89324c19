package command

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/jessevdk/go-flags"
)

var cmdRulesApply = &Command{
	Path:  []string{"rules", "apply"},
	Short: "Put a rules file in force, whole or not at all",
	New:   func(env *Env) flags.Commander { return &rulesApplyOptions{env: env, Revision: -1} },
}

type rulesApplyOptions struct {
	env *Env
	remote
	Who      string   `long:"who" env:"USER" default:"unknown" description:"who applies the rules"`
	Dead     []string `long:"dead" value-name:"INSTANCE" description:"instance known to run no longer; may be repeated"`
	Revision int64    `long:"revision" description:"rules revision that the file was made from; by default the one in force"`
	fileArgument
}

// Execute applies the file.
func (o *rulesApplyOptions) Execute([]string) error {
	text, _, err := readRules(o.env, o.Args.File)
	if err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	revision := o.Revision
	if revision < 0 {
		state, err := client.State()
		if err != nil {
			return errFailed.Wrap(err, "reading the revision in force")
		}
		revision = state.GetRulesRevision()
	}
	return sendChange(o.env, client, &wire.ChangeRequest{
		Who:                   o.Who,
		DeadInstances:         o.Dead,
		ExpectedRulesRevision: revision,
		Change:                &wire.ChangeRequest_RulesText{RulesText: text},
	})
}
