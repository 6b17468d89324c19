package command

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/jessevdk/go-flags"
)

var cmdKeysWithdraw = &Command{
	Path:  []string{"keys", "withdraw"},
	Short: "Withdraw a key; it stops working at all instances within seconds",
	New:   func(env *Env) flags.Commander { return &keysWithdrawOptions{env: env} },
}

type keysWithdrawOptions struct {
	env *Env
	clientOptions
	Who  string   `long:"who" env:"USER" default:"unknown" description:"who withdraws the key"`
	Dead []string `long:"dead" value-name:"INSTANCE" description:"instance known to be dead; may be repeated"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute withdraws the key.
func (o *keysWithdrawOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	return submitChange(o.env, client, &wire.ChangeRequest{
		Who:           o.Who,
		DeadInstances: o.Dead,
		Change:        &wire.ChangeRequest_WithdrawKeyId{WithdrawKeyId: o.Args.ID},
	})
}
