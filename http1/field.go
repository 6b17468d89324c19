package http1

import "bytes"

const (
	// maxQuotedBytes is how much of an invalid line stands in an error.
	maxQuotedBytes = 64

	// tokenBytes are the bytes that the name of a field may hold (RFC 9110, section 5.6.2).
	tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)

var (
	// ErrField means that a line in a head or a trailer is not a valid field.
	ErrField = errorSpace.NewType("field")

	isTokenByte = newByteTable(tokenBytes)
)

// CheckRequestFields checks the fields of a request's head, without the request line. A request
// may not continue a field on the next line (RFC 9112, section 5.2): fasthttp joins the lines in
// place each time that it reads them, which changes the value.
func CheckRequestFields(fields []byte) error {
	for line := range bytes.Lines(fields) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, lineFeed), carriageReturn)
		if len(line) == 0 {
			return nil
		}
		if isContinuation(line) {
			return ErrField.New("a field goes on in a second line")
		}
		if _, err := fieldName(line); err != nil {
			return err
		}
	}
	return nil
}

// fieldName returns the name of a field, or an error unless name and value are valid. Errors
// quote no value, which may be a key.
func fieldName(line []byte) ([]byte, error) {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon {
		return nil, ErrField.New("a line of %d bytes is no field", len(line))
	}
	if !isToken(name) {
		return nil, ErrField.New("a field has the invalid name %q", quotable(name))
	}
	if !isFieldValue(value) {
		return nil, ErrField.New("field %s has an invalid value", quotable(name))
	}
	return name, nil
}

// isContinuation reports whether a line continues the value of the field before it.
func isContinuation(line []byte) bool {
	return line[0] == ' ' || line[0] == '\t'
}

// newByteTable returns a table that holds true for each byte of a string.
func newByteTable(members string) (table [256]bool) {
	for i := range len(members) {
		table[members[i]] = true
	}
	return table
}

// isToken reports whether b may be the name of a field.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b may be the value of a field, with the blanks around it
// (RFC 9110, section 5.5), or the reason of a status (RFC 9112, section 4).
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c == '\x7f' || (c < ' ' && c != '\t') {
			return false
		}
	}
	return true
}

// quotable returns the part of a line that may stand in an error.
func quotable(line []byte) []byte {
	return line[:min(len(line), maxQuotedBytes)]
}
