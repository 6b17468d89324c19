package load

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

type (
	// regionClient sends the requests of all callers of one region. It caches
	// lookups for as long as the entry instances allow.
	regionClient struct {
		region Region
		// bootstrap lists the addresses for lookups if no instance of an earlier
		// lookup responds.
		bootstrap  []string
		httpClient *fasthttp.Client

		mu sync.Mutex
		// cache maps the names of a workspace and a service to their lookup.
		cache map[string]cachedLookup
	}

	// cachedLookup is a lookup's response, which is nil if none arrived.
	cachedLookup struct {
		list       *wire.EntryList
		expiresAt  time.Time
		refreshing bool
	}

	// response is the response to one attempt, or the error instead of it.
	response struct {
		outcome string
		code    string
		body    []byte
		err     error
	}
)

const (
	lookupTimeout   = time.Second
	maxAttempts     = 5
	maxConnsPerHost = 4096
)

func newRegionClient(region Region, bootstrap []string) *regionClient {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(region.SourceIP)}}
	return &regionClient{
		region:    region,
		bootstrap: bootstrap,
		cache:     make(map[string]cachedLookup),
		httpClient: http1.GuardClient(&fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) },
		}),
	}
}

// lookup returns the instances that a workspace's callers should use. An expired
// lookup is refreshed in the background and used until then.
func (c *regionClient) lookup(w Workspace, service string) *wire.EntryList {
	key := w.Name + " " + service
	c.mu.Lock()
	old, ok := c.cache[key]
	refresh := !ok || (!old.refreshing && time.Now().After(old.expiresAt))
	if ok && refresh {
		old.refreshing = true
		c.cache[key] = old
	}
	c.mu.Unlock()
	switch {
	case !refresh:
		return old.list
	case ok:
		go c.refresh(w, service, old.list)
		return old.list
	default:
		return c.refresh(w, service, nil)
	}
}

// refresh repeats a lookup and caches the response, or the old one if there is
// none.
func (c *regionClient) refresh(w Workspace, service string, old *wire.EntryList) *wire.EntryList {
	list := c.queryEntries(w, service, old)
	c.mu.Lock()
	defer c.mu.Unlock()
	if list == nil {
		list = old
	}
	expiresAt := time.Now().Add(time.Duration(list.GetMaxAgeMs()) * time.Millisecond)
	c.cache[w.Name+" "+service] = cachedLookup{list: list, expiresAt: expiresAt}
	return list
}

// expire marks a lookup as expired after one of its instances did not respond.
func (c *regionClient) expire(w Workspace, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.cache[w.Name+" "+service]
	old.expiresAt = time.Time{}
	c.cache[w.Name+" "+service] = old
}

// queryEntries sends a lookup to one instance after another until one responds,
// first to those of the old lookup. It returns nil if none does.
func (c *regionClient) queryEntries(w Workspace, service string, old *wire.EntryList) *wire.EntryList {
	var addresses []string
	for _, entry := range old.GetEntries() {
		addresses = append(addresses, entry.GetAddress())
	}
	for _, address := range append(addresses, c.bootstrap...) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + address + "/v1/entries?service=" + service)
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+w.Key)
		err := c.httpClient.DoTimeout(req, resp, lookupTimeout)
		list := &wire.EntryList{}
		ok := err == nil && resp.StatusCode() == fasthttp.StatusOK && protojson.Unmarshal(resp.Body(), list) == nil
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if ok && len(list.GetEntries()) > 0 {
			return list
		}
	}
	return nil
}

// send makes one attempt at one instance.
func (c *regionClient) send(address string, w Workspace, t Target, nonce, idempotencyKey string, timeout time.Duration) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/s/%s%s?nonce=%s", address, t.Service, t.Path, nonce))
	req.Header.SetMethod(t.Method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+w.Key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
		req.SetBodyString("body of " + nonce)
	}
	if err := c.httpClient.DoTimeout(req, resp, timeout); err != nil {
		return response{err: err}
	}
	out := response{outcome: string(resp.Header.Peek("Bulrushferry-Outcome")), body: append([]byte(nil), resp.Body()...)}
	if out.outcome != outcomeDone {
		refusal := &wire.Refusal{}
		if protojson.Unmarshal(out.body, refusal) == nil {
			out.code = refusal.GetCode()
		}
	}
	return out
}

// notSent reports whether the request was not sent because the connection to the
// instance failed.
func (r response) notSent() bool {
	var op *net.OpError
	return errors.As(r.err, &op) && op.Op == "dial"
}

// echoesNonce reports whether the response belongs to the request with this
// nonce. The backend servers of the standin program echo it.
func (r response) echoesNonce(nonce string) bool {
	return bytes.Contains(r.body, []byte(" "+nonce+" "))
}
