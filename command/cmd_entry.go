package command

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/bulrushferry/bulrushferry/entry"
	"github.com/bulrushferry/bulrushferry/settings"
	"github.com/jessevdk/go-flags"
)

var cmdEntry = &Command{
	Path:  []string{"entry"},
	Short: "Run an entry instance",
	New:   func(env *Env) flags.Commander { return &entryOptions{env: env} },
}

type entryOptions struct {
	env      *Env
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs the entry instance until SIGTERM or SIGINT.
func (o *entryOptions) Execute([]string) error {
	loaded, err := settings.Load(o.Settings)
	if err != nil {
		return errUsage.Wrap(err, "starting the entry instance")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := entry.Run(ctx, loaded, o.Settings, o.env.Stderr); err != nil {
		return errFailed.Wrap(err, "running the entry instance")
	}
	return nil
}
