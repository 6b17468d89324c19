package operator

import (
	"net/url"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		// Addresses are the operator addresses of entry instances.
		Addresses []string
		Token   string
		Timeout time.Duration
	}

	// Client asks entry instances on behalf of an operator.
	Client struct {
		config ClientConfig
		http   *fasthttp.Client
	}
)

var (
	errorSpace = errorx.NewNamespace("operator")

	// ErrNoResponse means that no entry instance answered.
	ErrNoResponse = errorSpace.NewType("no_entry")
	// ErrBadResponse means that an entry instance answered with an error.
	ErrBadResponse = errorSpace.NewType("answer")
)

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, http: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// SubmitChange asks for a change. The same change is sent to one instance after
// another until one of them has stored it, which its id makes safe.
func (c *Client) SubmitChange(request *wire.ChangeRequest) (*wire.ChangeResult, error) {
	var last *wire.ChangeResult
	var lastErr error
	for _, entry := range c.config.Addresses {
		result := &wire.ChangeResult{}
		if err := c.call(entry, fasthttp.MethodPost, changePath, request, result); err != nil {
			lastErr = err
			continue
		}
		last = result
		if result.GetAccepted() || len(result.GetFaults()) > 0 {
			return result, nil
		}
	}
	if last != nil {
		return last, nil
	}
	return nil, c.noEntry(lastErr)
}

// State returns the state in force at the first instance that answers.
func (c *Client) State() (*wire.State, error) {
	return first(c, statePath, func() *wire.State { return &wire.State{} })
}

// History returns the accepted rules files, oldest first.
func (c *Client) History() (*wire.History, error) {
	return first(c, historyPath, func() *wire.History { return &wire.History{} })
}

// Explain says what the first instance that answers would do with a request.
func (c *Client) Explain(service, path string) (*wire.Explanation, error) {
	query := url.Values{"service": {service}, "path": {path}}
	return first(c, explainPath+"?"+query.Encode(), func() *wire.Explanation { return &wire.Explanation{} })
}

// Statuses asks every instance for its status. Those that do not answer are
// returned by address.
func (c *Client) Statuses() ([]*wire.Status, []string) {
	return all(c, statusPath, func() *wire.Status { return &wire.Status{} })
}

// BurnReports asks every instance for its counts. Those that do not answer are
// returned by address.
func (c *Client) BurnReports() ([]*wire.BurnReport, []string) {
	return all(c, burnPath, func() *wire.BurnReport { return &wire.BurnReport{} })
}

func first[T proto.Message](c *Client, path string, empty func() T) (T, error) {
	var lastErr error
	for _, entry := range c.config.Addresses {
		out := empty()
		lastErr = c.call(entry, fasthttp.MethodGet, path, nil, out)
		if lastErr == nil {
			return out, nil
		}
	}
	return empty(), c.noEntry(lastErr)
}

func all[T proto.Message](c *Client, path string, empty func() T) (answers []T, silent []string) {
	for _, entry := range c.config.Addresses {
		out := empty()
		if err := c.call(entry, fasthttp.MethodGet, path, nil, out); err != nil {
			silent = append(silent, entry)
			continue
		}
		answers = append(answers, out)
	}
	return answers, silent
}

func (c *Client) noEntry(last error) error {
	if last == nil {
		return ErrNoResponse.New("no entry instance is named")
	}
	return ErrNoResponse.Wrap(last, "no entry instance gave an answer")
}

func (c *Client) call(entry, method, path string, body, answer proto.Message) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + path)
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
		return ErrNoResponse.Wrap(err, "asking entry instance %s", entry)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return ErrBadResponse.New("entry instance %s answered %d: %s", entry, resp.StatusCode(), resp.Body())
	}
	if err := protojson.Unmarshal(resp.Body(), answer); err != nil {
		return ErrBadResponse.Wrap(err, "reading the answer of entry instance %s", entry)
	}
	return nil
}
