// Package origin sends callers' requests to backend servers over HTTP/1.1 and
// reads their answers.
package origin

// HeaderNames holds the names of the header fields and cookies that callers,
// instances and backend servers speak with. It is set by the platform's adapter.
type HeaderNames struct {
	// RequestID names each try of a caller; servers echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender waits.
	Deadline string
	// APIKey holds the caller's key; it never reaches a server.
	APIKey string
	// Workspace tells a server whose request it runs.
	Workspace string
	// Pin names the only incarnation of a server that may run the request.
	Pin string
	// Declined marks answers of a server that did not run the request.
	Declined string
	// Signature marks answers that a server has made.
	Signature string
	// Load holds a server's running and waiting requests and its slots.
	Load string
	// Cold holds the milliseconds for which a server stays cold.
	Cold string
	// AffinityCookie names the object that a request concerns.
	AffinityCookie string
}
