package gateway

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"
)

// maxCopiedBody is the size up to which a body is copied to the end of its head: one write
// of little data is cheaper than one of two parts.
const maxCopiedBody = 8 << 10

// encodeResponse returns a response in HTTP/1.1 wire format: the head and the body, or both
// together. It replaces the headers that apply to a single connection, and sets
// Content-Length to the length of the body.
func encodeResponse(x *Exchange, closeAfter bool) (head, rest []byte) {
	response := x.response
	body := response.Body()
	out := make([]byte, 0, 512+min(len(body), maxCopiedBody))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(response.StatusCode()), 10)
	out = append(out, ' ')
	out = append(out, fasthttp.StatusMessage(response.StatusCode())...)
	out = append(out, "\r\n"...)
	for key, value := range response.Header.All() {
		if isConnectionHeader(key) || (len(value) == 0 && bytes.Equal(key, contentType)) {
			continue
		}
		out = append(out, key...)
		out = append(out, ": "...)
		out = append(out, value...)
		out = append(out, "\r\n"...)
	}
	if length, ok := contentLength(x); ok {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(length), 10)
		out = append(out, "\r\n"...)
	}
	if closeAfter {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	switch {
	case x.Request.Header.IsHead():
		return out, nil
	case len(body) <= maxCopiedBody:
		return append(out, body...), nil
	default:
		return out, body
	}
}

// contentLength returns the value of the Content-Length field of a response, and whether
// the response has that field. The response to a HEAD request has no body and states the
// length that the backend server stated, if it did.
func contentLength(x *Exchange) (int, bool) {
	status := x.response.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return 0, false
	}
	length := len(x.response.Body())
	if x.Request.Header.IsHead() && length == 0 {
		length = x.response.Header.ContentLength()
	}
	return length, length >= 0
}
