package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bulrushferry/bulrushferry/platform"
	"github.com/bulrushferry/bulrushferry/steering"
	"github.com/jessevdk/go-flags"
)

var cmdSteer = &Command{
	Path:  []string{"steer"},
	Short: "Run an entry instance whose configuration is stored by the platform",
	New:   func(env *Env) flags.Commander { return &steerOptions{env: env} },
}

type steerOptions struct {
	env      *Env
	NodeFile string `long:"node" value-name:"FILE" description:"settings file written by the platform; by default the file that the environment names"`
}

// Execute runs the entry instance until SIGTERM or SIGINT. SIGHUP is caught first of all,
// for it may come at any moment and would end a process that does not catch it yet.
func (o *steerOptions) Execute([]string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := o.NodeFile
	if path == "" {
		path = os.Getenv(platform.NodeFileVariable)
	}
	adapter, err := platform.LoadAdapter(path)
	if err != nil {
		return errUsage.Wrap(err, "starting the entry instance")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := steering.Run(ctx, adapter, hangups, o.env.Stdout); err != nil {
		return errFailed.Wrap(err, "running the entry instance")
	}
	return nil
}
