package placement

type (
	// Event is a change of what the balancer believes of a server, for the log.
	Event struct {
		Message string
		Server  string
		Service string
		// Fields are the inputs of the decision, as keys and values in turn.
		Fields []any
	}
)

// maxEvents bounds the events that are kept between two calls of TakeEvents.
const maxEvents = 20

// recordEvent keeps an event for the log, unless there are too many.
func (b *Balancer) recordEvent(message string, s *serverState, fields ...any) {
	if len(b.events) < maxEvents {
		b.events = append(b.events, Event{Message: message, Server: s.info.ID, Service: s.info.Service, Fields: fields})
	}
}

// TakeEvents returns the events since the last call.
func (b *Balancer) TakeEvents() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.events
	b.events = nil
	return taken
}

// Counts counts decisions of a balancer for its metrics.
type Counts struct {
	// IsolatedLatencies are those so far above the expected latency that they counted
	// little, since the one before was not.
	IsolatedLatencies int
	// MovedObjects are the requests whose object is not kept by the server that ranks
	// first for it, since that has more than its part.
	MovedObjects int
	// Ramps are the slow starts of servers, RampSetbacks the times at which the limit of
	// one shrank, and RampYields the requests for which the limits were left aside, since
	// no other server would have answered in time.
	Ramps        int
	RampSetbacks int
	RampYields   int
}

// TakeCounts returns the counts since the last call.
func (b *Balancer) TakeCounts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.counts
	b.counts = Counts{}
	return taken
}
