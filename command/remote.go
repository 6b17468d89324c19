package command

import (
	"time"

	"github.com/bulrushferry/bulrushferry/operator"
)

// remote holds the options of the commands that ask entry instances.
type remote struct {
	Entries []string      `long:"entry" env:"BULRUSHFERRY_ENTRIES" env-delim:"," value-name:"IP:PORT" description:"operator address of an entry instance; may be repeated"`
	Token   string        `long:"token" env:"BULRUSHFERRY_OPERATOR_TOKEN" value-name:"TOKEN" description:"operator token"`
	Timeout time.Duration `long:"timeout" default:"12s" description:"longest wait for one instance"`
}

func (r *remote) client() (*operator.Client, error) {
	if len(r.Entries) == 0 {
		return nil, errUsage.New("no entry instance is named: give --entry or set BULRUSHFERRY_ENTRIES")
	}
	return operator.NewClient(operator.ClientConfig{
		Addresses: r.Entries,
		Token:   r.Token,
		Timeout: r.Timeout,
	}), nil
}
