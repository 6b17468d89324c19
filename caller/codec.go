package caller

import (
	"bufio"
	"bytes"

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/valyala/fasthttp"
)

// forwardedHeadBytes limits the head of a request on its way to a peer: the caller's
// fields and those that are added.
const forwardedHeadBytes = 2 * maxHeaderBytes

// encodeRequest returns a request in HTTP/1.1 wire format, or nil if it cannot be
// encoded.
func encodeRequest(request *fasthttp.Request) []byte {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	if request.Write(w) != nil || w.Flush() != nil {
		return nil
	}
	return out.Bytes()
}

// decodeRequest parses a request that a peer encoded with encodeRequest. The body is not
// interpreted: fasthttp would parse a form and write it anew.
func decodeRequest(raw []byte) (*fasthttp.Request, error) {
	const noLimit, parseForms = 0, false
	request := fasthttp.AcquireRequest()
	request.Header.SetNoDefaultContentType(true)
	reader := bufio.NewReaderSize(bytes.NewReader(raw), forwardedHeadBytes)
	err := request.Header.Read(reader)
	if err == nil {
		err = request.ContinueReadBody(reader, noLimit, parseForms)
	}
	if err != nil {
		fasthttp.ReleaseRequest(request)
		return nil, err
	}
	return request, nil
}

// encodeResponse returns a response in HTTP/1.1 wire format. It returns nil for a nil
// response and for one that cannot be encoded.
func encodeResponse(response *fasthttp.Response) []byte {
	if response == nil {
		return nil
	}
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	if response.Write(w) != nil || w.Flush() != nil {
		return nil
	}
	return out.Bytes()
}

// decodeResponse parses a response that encodeResponse has encoded, here or at a peer.
func decodeResponse(raw []byte) (*fasthttp.Response, error) {
	response := fasthttp.AcquireResponse()
	if err := http1.ReadResponse(http1.NewResponseReader(bytes.NewReader(raw)), response, false); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	return response, nil
}
