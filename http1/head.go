package http1

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

type (
	// headCheck checks the lines of heads and trailers, one after the other, before fasthttp
	// parses them. fasthttp takes lines that RFC 9112 does not allow, and may give them
	// another meaning than the next reader.
	headCheck struct {
		expects expectation
		// interim is set if the head is that of an interim response.
		interim bool
		// hasCodings is set if fasthttp knows the transfer codings of the response's version.
		hasCodings bool
		// hasField is set once a field has been read that the next line may continue.
		hasField bool
		// hasEncoding is set once a content encoding has been read.
		hasEncoding bool
	}

	// expectation is the part of a response that is read next.
	expectation int
)

const (
	anything expectation = iota
	statusLine
	fieldLine
)

var (
	// ErrStatus means that a response has no status line of HTTP/1.x with a status from 100 to
	// 599. fasthttp reads 000 as 200, takes any version, and control bytes in the reason.
	ErrStatus = errorSpace.NewType("status")

	lineFeed         = []byte("\n")
	carriageReturn   = []byte("\r")
	majorVersion     = []byte("HTTP/1.")
	currentVersion   = []byte("HTTP/1.1")
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
	contentEncoding  = []byte(fasthttp.HeaderContentEncoding)
)

// nextLines takes in the whole lines at the beginning of b, up to the end of the head or the
// trailer. It returns how many bytes they have, and whether that end was among them.
func (h *headCheck) nextLines(b []byte) (taken int, ended bool, err error) {
	for !ended && err == nil {
		line, _, whole := bytes.Cut(b[taken:], lineFeed)
		if !whole {
			break
		}
		taken += len(line) + len(lineFeed)
		ended, err = h.next(line)
	}
	return taken, ended, err
}

// next takes in the next line, without its line feed. It reports whether the line ends the
// head or the trailer.
func (h *headCheck) next(line []byte) (ended bool, err error) {
	line = bytes.TrimSuffix(line, carriageReturn)
	switch {
	case h.expects == fieldLine && len(line) == 0:
		h.end()
		return true, nil
	case h.expects == fieldLine:
		return false, h.checkField(line)
	case len(line) == 0:
		return false, nil
	default:
		return false, h.begin(line)
	}
}

// begin takes in a status line.
func (h *headCheck) begin(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !isReadableVersion(version) {
		return ErrStatus.New("the response is not one of HTTP/1.x: %q", quotable(line))
	}
	if !isFieldValue(rest) {
		return ErrStatus.New("the response has a control byte in its status line: %q", quotable(line))
	}
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !isStatus(status) {
		return ErrStatus.New("the response has no status from 100 to 599: %q", quotable(line))
	}
	*h = headCheck{expects: fieldLine, interim: status[0] == '1', hasCodings: bytes.Equal(version, currentVersion)}
	return nil
}

// end takes in the end of a head. Another head follows that of an interim response.
func (h *headCheck) end() {
	h.expects = anything
	if h.interim {
		h.expects = statusLine
	}
}

// isReadableVersion reports whether a response of a version is read like one of HTTP/1.1 (RFC
// 9110, section 2.5). Only the minor version may differ.
func isReadableVersion(version []byte) bool {
	minor, ok := bytes.CutPrefix(version, majorVersion)
	return ok && len(minor) == 1 && isDigit(minor[0])
}

// isStatus reports whether a status has three digits and is from 100 to 599.
func isStatus(status []byte) bool {
	return len(status) == 3 && status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}

// checkField checks a field, or a line that continues the value of one.
func (h *headCheck) checkField(line []byte) error {
	if isContinuation(line) {
		return h.checkContinuation(line)
	}
	name, err := fieldName(line)
	if err != nil {
		return err
	}
	h.hasField = true
	return h.checkMeaning(name)
}

// checkMeaning returns an error for a field that fasthttp drops although it says how the body is
// to be read: a transfer coding of another version than HTTP/1.1, and a content encoding that
// another one follows.
func (h *headCheck) checkMeaning(name []byte) error {
	switch {
	case bytes.EqualFold(name, transferEncoding) && !h.hasCodings:
		return ErrFraming.New("a response of another version than HTTP/1.1 has a transfer coding")
	case bytes.EqualFold(name, contentEncoding) && h.hasEncoding:
		return ErrField.New("a response has two content encodings")
	case bytes.EqualFold(name, contentEncoding):
		h.hasEncoding = true
	}
	return nil
}

// checkContinuation checks a line that continues the value of the last field (RFC 9112,
// section 5.2).
func (h *headCheck) checkContinuation(line []byte) error {
	if !h.hasField || !isFieldValue(line) {
		return ErrField.New("a line continues no field or has an invalid value")
	}
	return nil
}
