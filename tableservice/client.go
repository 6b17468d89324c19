package tableservice

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		// Address is the IP:port of the platform's service.
		Address string
		Timeout time.Duration
		// Caller names the calling instance.
		Caller string
		// Source is the address to call from; the zero address means any.
		Source netip.Addr
	}

	// Client speaks to the platform's service over HTTP.
	Client struct {
		config ClientConfig
		http   *fasthttp.HostClient
	}
)

const (
	callerHeader       = "Platform-Caller"
	maxConnections     = 16
	maxIdleConnection  = 10 * time.Second
	dialTimeout        = time.Second
	contentTypeMessage = "application/x-protobuf"
)

// NewClient returns a client of the platform's service.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config,
		http: &fasthttp.HostClient{
			Addr:                config.Address,
			Dial:                dialFrom(config.Source),
			MaxConns:            maxConnections,
			MaxIdleConnDuration: maxIdleConnection,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
}

// dialFrom returns a function that opens connections from an address.
func dialFrom(source netip.Addr) fasthttp.DialFunc {
	dialer := net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return func(address string) (net.Conn, error) {
		return dialer.Dial("tcp", address)
	}
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, prefix string) ([]*wire.Row, error) {
	answer := &wire.RowList{}
	err := c.call(ctx, "/table/read", &wire.Row{Key: prefix}, answer)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "reading table rows %q", prefix)
	}
	return answer.GetRows(), nil
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx *wire.Transaction) (bool, error) {
	answer := &wire.TransactionResult{}
	err := c.call(ctx, "/table/commit", tx, answer)
	if isDialError(err) {
		return false, ErrUnavailable.Wrap(err, "committing to the table service")
	}
	if err != nil {
		return false, ErrUnknownResult.Wrap(err, "committing to the table service")
	}
	return answer.GetCommitted(), nil
}

// List implements Instances.
func (c *Client) List(ctx context.Context) (*wire.InstanceList, error) {
	answer := &wire.InstanceList{}
	err := c.call(ctx, "/instances", &wire.Row{}, answer)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "reading the instance list")
	}
	return answer, nil
}

// call posts one message and decodes the answer within the client's timeout.
func (c *Client) call(ctx context.Context, path string, body, answer proto.Message) error {
	payload, err := proto.Marshal(body)
	if err != nil {
		return ErrRejected.Wrap(err, "encoding the request")
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.config.Address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(contentTypeMessage)
	req.Header.Set(callerHeader, c.config.Caller)
	req.SetBodyRaw(payload)
	err = c.http.DoDeadline(req, resp, c.deadline(ctx))
	if err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return ErrUnavailable.New("platform answered %d: %s", resp.StatusCode(), resp.Body())
	}
	return proto.Unmarshal(resp.Body(), answer)
}

func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.config.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

// isDialError reports whether the connection was never made, so that no byte
// of the call can have arrived.
func isDialError(err error) bool {
	if errors.Is(err, fasthttp.ErrDialTimeout) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
