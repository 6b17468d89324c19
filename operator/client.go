package operator

import (
	"net/url"
	"time"

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		// Addresses are the operator addresses of the entry instances, in the order
		// in which they are tried.
		Addresses []string
		Token     string
		// Timeout limits each request to one instance.
		Timeout time.Duration
	}

	// Client calls the operator API of entry instances.
	Client struct {
		config ClientConfig
		http   *fasthttp.Client
	}
)

var (
	errorSpace = errorx.NewNamespace("operator")

	// ErrNoResponse means that no entry instance gave a usable response, or that
	// none was named.
	ErrNoResponse = errorSpace.NewType("no_entry")
	// ErrBadResponse means that an entry instance returned an error status or an
	// unreadable body, or that the request to it could not be encoded.
	ErrBadResponse = errorSpace.NewType("answer")
)

// NewClient returns a client that does not retry a request to the same instance.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, http: http1.GuardClient(&fasthttp.Client{MaxIdemponentCallAttempts: 1})}
}

// SubmitChange submits a change to one instance after another until one accepts it or
// reports faults in it. Submitting it again is safe because its id makes it
// idempotent.
func (c *Client) SubmitChange(request *wire.ChangeRequest) (*wire.ChangeResult, error) {
	var lastResult *wire.ChangeResult
	var lastErr error
	for _, address := range c.config.Addresses {
		result := &wire.ChangeResult{}
		if err := c.call(address, fasthttp.MethodPost, changePath, request, result); err != nil {
			lastErr = err
			continue
		}
		lastResult = result
		if result.GetAccepted() || len(result.GetFaults()) > 0 {
			return result, nil
		}
	}
	if lastResult != nil {
		return lastResult, nil
	}
	return nil, c.noResponse(lastErr)
}

// State returns the current state of the first instance that responds.
func (c *Client) State() (*wire.State, error) {
	return queryFirst(c, statePath, func() *wire.State { return &wire.State{} })
}

// History returns the accepted rules files, oldest first.
func (c *Client) History() (*wire.History, error) {
	return queryFirst(c, historyPath, func() *wire.History { return &wire.History{} })
}

// Explain returns how the first instance that responds would route a request.
func (c *Client) Explain(service, path string) (*wire.Explanation, error) {
	query := url.Values{"service": {service}, "path": {path}}
	return queryFirst(c, explainPath+"?"+query.Encode(), func() *wire.Explanation { return &wire.Explanation{} })
}

// Statuses returns the status of every instance, and the addresses of the instances
// that gave no usable response.
func (c *Client) Statuses() ([]*wire.Status, []string) {
	return queryAll(c, statusPath, func() *wire.Status { return &wire.Status{} })
}

// BurnReports returns the request counts of every instance, and the addresses of the
// instances that gave no usable response.
func (c *Client) BurnReports() ([]*wire.BurnReport, []string) {
	return queryAll(c, burnPath, func() *wire.BurnReport { return &wire.BurnReport{} })
}

// queryFirst gets a path from one instance after another until one responds.
func queryFirst[T proto.Message](c *Client, path string, newMessage func() T) (T, error) {
	var lastErr error
	for _, address := range c.config.Addresses {
		out := newMessage()
		lastErr = c.call(address, fasthttp.MethodGet, path, nil, out)
		if lastErr == nil {
			return out, nil
		}
	}
	return newMessage(), c.noResponse(lastErr)
}

// queryAll gets a path from every instance. It returns the responses and the addresses
// of the instances that gave no usable one.
func queryAll[T proto.Message](c *Client, path string, newMessage func() T) (responses []T, failed []string) {
	for _, address := range c.config.Addresses {
		out := newMessage()
		if err := c.call(address, fasthttp.MethodGet, path, nil, out); err != nil {
			failed = append(failed, address)
			continue
		}
		responses = append(responses, out)
	}
	return responses, failed
}

func (c *Client) noResponse(lastErr error) error {
	if lastErr == nil {
		return ErrNoResponse.New("no entry instance is named")
	}
	return ErrNoResponse.Wrap(lastErr, "no entry instance gave an answer")
}

// call sends one request to an instance. A nil body sends none.
func (c *Client) call(address, method, path string, body, result proto.Message) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+c.config.Token)
	if body != nil {
		raw, err := protojson.Marshal(body)
		if err != nil {
			return ErrBadResponse.Wrap(err, "encoding the request")
		}
		req.SetBodyRaw(raw)
	}
	if err := c.http.DoTimeout(req, resp, c.config.Timeout); err != nil {
		return ErrNoResponse.Wrap(err, "asking entry instance %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return ErrBadResponse.New("entry instance %s answered %d: %s", address, resp.StatusCode(), resp.Body())
	}
	if err := protojson.Unmarshal(resp.Body(), result); err != nil {
		return ErrBadResponse.Wrap(err, "reading the answer of entry instance %s", address)
	}
	return nil
}
