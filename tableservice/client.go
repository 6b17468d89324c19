package tableservice

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		// Address is the IP:port of the table service.
		Address string
		// Timeout limits each call; the context may end it earlier.
		Timeout time.Duration
		// Caller is the name of the calling instance, sent with each call.
		Caller string
		// Source is the local address of the connections; the zero address means any.
		Source netip.Addr
	}

	// Client calls the table service over HTTP. It does not retry. It is safe for
	// concurrent use.
	Client struct {
		config ClientConfig
		http   *fasthttp.HostClient
		// answers is the memory of the answers that are being read.
		answers *memory.Account
	}
)

const (
	callerHeader    = "Platform-Caller"
	maxConnections  = 16
	maxIdleDuration = 10 * time.Second
	dialTimeout     = time.Second
	// maxAnswerBytes limits an answer: a rules file may have 4 MiB, and a read of their history
	// returns several.
	maxAnswerBytes      = 16 << 20
	contentTypeProtobuf = "application/x-protobuf"
)

// NewClient returns a client of the table service.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config:  config,
		answers: memory.NewAccount(memory.LimitsOfResponses(maxAnswerBytes)),
		http: http1.GuardHostClient(&fasthttp.HostClient{
			Addr:                config.Address,
			Dial:                dialFrom(config.Source),
			MaxConns:            maxConnections,
			MaxIdleConnDuration: maxIdleDuration,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		}),
	}
}

// dialFrom returns a dial function that binds connections to a local address.
func dialFrom(source netip.Addr) fasthttp.DialFunc {
	dialer := net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return func(address string) (net.Conn, error) {
		return dialer.Dial("tcp", address)
	}
}

// Read implements Table. All its errors are ErrUnavailable.
func (c *Client) Read(ctx context.Context, prefix string) ([]*wire.Row, error) {
	response := &wire.RowList{}
	err := c.call(ctx, "/table/read", &wire.Row{Key: prefix}, response)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "reading table rows %q", prefix)
	}
	return response.GetRows(), nil
}

// Commit implements Table. Its error is ErrUnavailable only if no connection could be
// opened; after any other one the table service may have received the transaction.
func (c *Client) Commit(ctx context.Context, tx *wire.Transaction) (bool, error) {
	response := &wire.TransactionResult{}
	err := c.call(ctx, "/table/commit", tx, response)
	if isDialError(err) {
		return false, ErrUnavailable.Wrap(err, "committing to the table service")
	}
	if err != nil {
		return false, ErrUnknownResult.Wrap(err, "committing to the table service")
	}
	return response.GetCommitted(), nil
}

// ListInstances implements InstanceLister. All its errors are ErrUnavailable.
func (c *Client) ListInstances(ctx context.Context) (*wire.InstanceList, error) {
	response := &wire.InstanceList{}
	err := c.call(ctx, "/instances", &wire.Row{}, response)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "reading the instance list")
	}
	return response, nil
}

// call posts a message and decodes the response.
func (c *Client) call(ctx context.Context, path string, request, response proto.Message) error {
	payload, err := proto.Marshal(request)
	if err != nil {
		return ErrRejected.Wrap(err, "encoding the request")
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.config.Address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(contentTypeProtobuf)
	req.Header.Set(callerHeader, c.config.Caller)
	req.SetBodyRaw(payload)
	resp.StreamBody = true
	err = c.http.DoDeadline(req, resp, c.deadline(ctx))
	if err != nil {
		return err
	}
	hold := c.answers.Hold(memory.Responses)
	defer hold.Release()
	if err := http1.ReadStreamedBody(resp, hold); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return ErrUnavailable.New("platform answered %d: %s", resp.StatusCode(), resp.Body())
	}
	return proto.Unmarshal(resp.Body(), response)
}

// deadline returns the earlier of the client's timeout and the context's deadline.
func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.config.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

// isDialError reports whether err means that no connection was opened, so that the
// table service cannot have received any part of the request.
func isDialError(err error) bool {
	if errors.Is(err, fasthttp.ErrDialTimeout) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
