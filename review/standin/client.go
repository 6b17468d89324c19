package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has got for a request.
type answer struct {
	status     int
	signature  string
	body       []byte
	closing    bool
	err        error
	retryAfter string
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer (" + a.err.Error() + ")"
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.status, a.signature, len(a.body))
}

// head returns the head of a client's request.
func head(method, path, id string, deadline time.Duration, extra ...string) string {
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: a.example", "X-Bulrushferry-Request-Id: " + id,
		fmt.Sprintf("X-Bulrushferry-Deadline-Ms: %d", deadline.Milliseconds()), "X-Bulrushferry-Credential: key-guild",
	}
	return strings.Join(append(lines, extra...), "\r\n") + "\r\n\r\n"
}

// client is a client's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// read reads the next answer on the connection.
func (c *client) read(method string) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, signature: response.Header.Get("X-Bulrushferry-Response-Signature"),
		body: body, closing: response.Close, err: err, retryAfter: response.Header.Get("Retry-After"),
	}
}

// isWhole reports whether an answer is the whole answer of a target to the request.
func (a answer) isWhole(id string) bool {
	return a.err == nil && a.status == http.StatusOK && a.signature != "" && bytes.Equal(a.body, answerTo(id))
}
