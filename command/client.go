package command

import (
	"time"

	"github.com/bulrushferry/bulrushferry/operator"
)

// clientOptions are the options of the commands that call entry instances.
type clientOptions struct {
	Addresses []string      `long:"entry" env:"BULRUSHFERRY_ENTRIES" env-delim:"," value-name:"IP:PORT" description:"operator address of an entry instance; may be repeated"`
	Token     string        `long:"token" env:"BULRUSHFERRY_OPERATOR_TOKEN" value-name:"TOKEN" description:"operator token"`
	Timeout   time.Duration `long:"timeout" default:"12s" description:"timeout of each request to an instance"`
}

func (o *clientOptions) newClient() (*operator.Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errUsage.New("no entry instance is named: give --entry or set BULRUSHFERRY_ENTRIES")
	}
	return operator.NewClient(operator.ClientConfig{
		Addresses: o.Addresses,
		Token:     o.Token,
		Timeout:   o.Timeout,
	}), nil
}
