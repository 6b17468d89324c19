package caller

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"
)

// encodeRequest writes a request as it goes over a connection.
func encodeRequest(request *fasthttp.Request) []byte {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	if request.Write(w) != nil || w.Flush() != nil {
		return nil
	}
	return out.Bytes()
}

// decodeRequest reads a request that a peer has encoded.
func decodeRequest(raw []byte) (*fasthttp.Request, error) {
	request := fasthttp.AcquireRequest()
	if err := request.Read(bufio.NewReader(bytes.NewReader(raw))); err != nil {
		fasthttp.ReleaseRequest(request)
		return nil, err
	}
	return request, nil
}

// encodeResponse writes a response as it goes over a connection.
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

// decodeResponse reads a response that a peer has encoded, or one remembered.
func decodeResponse(raw []byte) (*fasthttp.Response, error) {
	response := fasthttp.AcquireResponse()
	if err := response.Read(bufio.NewReader(bytes.NewReader(raw))); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	return response, nil
}
