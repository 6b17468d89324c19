// Package origin is the HTTP/1.1 client that forwards callers' requests to backend
// servers, and the pool of its connections.
package origin

// HeaderNames holds the names of the header fields, and of one cookie, that callers,
// instances and backend servers exchange. The platform's adapter sets them.
type HeaderNames struct {
	// RequestID identifies an attempt of a caller; servers echo it.
	RequestID string
	// Deadline holds the time that the sender waits, in milliseconds.
	Deadline string
	// APIKey holds the caller's API key. It is not forwarded to servers.
	APIKey string
	// Workspace tells a server whose request it runs.
	Workspace string
	// Pin names the only incarnation of a server that may run the request.
	Pin string
	// Declined marks a response of a server that did not run the request.
	Declined string
	// Signature marks a response that was made by a server.
	Signature string
	// Load holds the numbers of a server's running requests, waiting requests and
	// slots and, optionally, its pace, separated by commas.
	Load string
	// Cold holds the time for which a server remains cold, in milliseconds.
	Cold string
	// Leaving marks every response of a server that is about to stop.
	Leaving string
	// AffinityCookie names the object that a request concerns.
	AffinityCookie string
}
