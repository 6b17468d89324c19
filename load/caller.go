package load

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

type (
	// callers are the callers of one region. They remember look-ups for as
	// long as these may be used.
	callers struct {
		region  Region
		lookups []string
		http    *fasthttp.Client

		mu    sync.Mutex
		known map[string]remembered
	}

	remembered struct {
		list     *wire.EntryList
		until    time.Time
		renewing bool
	}

	// reply is one answer to one try.
	reply struct {
		outcome string
		code    string
		body    []byte
		err     error
	}
)

const (
	lookupTimeout  = time.Second
	maxTries       = 5
	maxConnections = 4096
)

func newCallers(region Region, lookups []string) *callers {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(region.SourceIP)}}
	return &callers{
		region:  region,
		lookups: lookups,
		known:   make(map[string]remembered),
		http: &fasthttp.Client{
			MaxConnsPerHost:           maxConnections,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) },
		},
	}
}

// lookup returns the instances that a workspace's callers should use. While an
// old answer is being renewed the callers go on using it.
func (c *callers) lookup(w Workspace, service string) *wire.EntryList {
	key := w.Name + " " + service
	c.mu.Lock()
	old, ok := c.known[key]
	renew := !ok || (!old.renewing && time.Now().After(old.until))
	if ok && renew {
		old.renewing = true
		c.known[key] = old
	}
	c.mu.Unlock()
	switch {
	case !renew:
		return old.list
	case ok:
		go c.renew(w, service, old.list)
		return old.list
	default:
		return c.renew(w, service, nil)
	}
}

func (c *callers) renew(w Workspace, service string, old *wire.EntryList) *wire.EntryList {
	list := c.ask(w, service, old)
	c.mu.Lock()
	defer c.mu.Unlock()
	if list == nil {
		list = old
	}
	until := time.Now().Add(time.Duration(list.GetMaxAgeMs()) * time.Millisecond)
	c.known[w.Name+" "+service] = remembered{list: list, until: until}
	return list
}

// forget drops a look-up that led to an instance that does not answer.
func (c *callers) forget(w Workspace, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.known[w.Name+" "+service]
	old.until = time.Time{}
	c.known[w.Name+" "+service] = old
}

// ask asks one instance after another, those of the last answer first.
func (c *callers) ask(w Workspace, service string, old *wire.EntryList) *wire.EntryList {
	var addresses []string
	for _, entry := range old.GetEntries() {
		addresses = append(addresses, entry.GetAddress())
	}
	for _, address := range append(addresses, c.lookups...) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + address + "/v1/entries?service=" + service)
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+w.Key)
		err := c.http.DoTimeout(req, resp, lookupTimeout)
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

// send makes one try at one instance.
func (c *callers) send(address string, w Workspace, t Target, nonce, action string, timeout time.Duration) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/s/%s%s?nonce=%s", address, t.Service, t.Path, nonce))
	req.Header.SetMethod(t.Method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+w.Key)
	if action != "" {
		req.Header.Set("Idempotency-Key", action)
		req.SetBodyString("body of " + nonce)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return reply{err: err}
	}
	out := reply{outcome: string(resp.Header.Peek("Bulrushferry-Outcome")), body: append([]byte(nil), resp.Body()...)}
	if out.outcome != outcomeDone {
		refusal := &wire.Refusal{}
		if protojson.Unmarshal(out.body, refusal) == nil {
			out.code = refusal.GetCode()
		}
	}
	return out
}

// neverSent reports whether the connection could not be made.
func (r reply) neverSent() bool {
	var op *net.OpError
	return errors.As(r.err, &op) && op.Op == "dial"
}

// matches reports whether an answer belongs to a request. The stand-in's
// backend servers repeat the request's nonce.
func (r reply) matches(nonce string) bool {
	return bytes.Contains(r.body, []byte(" "+nonce+" "))
}
