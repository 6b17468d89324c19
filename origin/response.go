package origin

import (
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/valyala/fasthttp"
)

// Response is a server's whole response to a request. Only an exchange that has read and
// checked all of it returns one, so that nothing less can be passed on to a caller.
type Response struct {
	message *fasthttp.Response
	// hold is the memory that the body takes.
	hold *memory.Hold
}

func newResponse(account *memory.Account) *Response {
	return &Response{message: fasthttp.AcquireResponse(), hold: account.Hold(memory.Responses)}
}

// Message returns the status, the header and the body.
func (r *Response) Message() *fasthttp.Response {
	return r.message
}

// Release gives the memory back. The message must not be used any more. A nil Response
// holds none.
func (r *Response) Release() {
	if r == nil || r.message == nil {
		return
	}
	r.hold.Release()
	fasthttp.ReleaseResponse(r.message)
	r.message = nil
}
