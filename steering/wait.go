package steering

import (
	"time"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/rcrowley/go-metrics"
)

type (
	// waiter is a request that waits for room at a server of its service.
	waiter struct {
		req   *callerRequest
		tried values.Set[string]
		// ended receives the server that the request is assigned to, or nil if a more
		// urgent request has displaced it.
		ended chan *placement.Choice
	}

	// waitEnd says how a request's wait has ended, after which time, and how many requests
	// waited for the service when it began.
	waitEnd struct {
		ended   string
		took    clock.Millis
		waiting int
	}
)

const (
	// waitDivisor is the part of a request's objective, as a divisor, after which it is
	// refused if it has not been assigned to a server by then. A refusal is to reach
	// the caller within an eighth of the objective; the rest of that time is for the network
	// and for a busy processor.
	waitDivisor = 10
	// maxWaiting is how many requests to one service may wait: more than an instance can
	// assign to servers within their waiting time.
	maxWaiting = 512
	// offersPerEnd is how many waiting requests are offered the room that the end of a
	// request at a server leaves. Most are bound to the servers of their objects, so fewer
	// offers would leave room unused where many requests wait at an instance.
	offersPerEnd = 8
	// offersPerList is the same for each service when the list of servers changes.
	offersPerList = 32
)

// waitsUntil returns until when a request may wait for room.
func (req *callerRequest) waitsUntil() clock.Millis {
	return min(req.startedAt+req.route.Objective/waitDivisor, req.deadline)
}

// wait waits until a server has room for a request, no longer than its waiting time. It
// returns the server, or the refusal of a last try.
func (h *Handler) wait(req *callerRequest, tried values.Set[string]) (*placement.Choice, *placement.Refusal) {
	since := h.config.Clock.Now()
	req.waitsSince = since
	w := &waiter{req: req, tried: tried, ended: make(chan *placement.Choice, 1)}
	place := h.config.Admission.Place(since, req.admissionRequest(), req.deadline)
	entry, displaced, waiting := h.room.Enter(req.service, place, w)
	if displaced != nil {
		displaced.Value.ended <- nil
	}
	choice, ended := (*placement.Choice)(nil), "full"
	if entry != nil {
		// The room that led to the next wake-up may have become free since the request
		// was refused.
		h.room.Offer(req.service, 1, h.assign)
		choice, ended = h.await(w, entry)
	}
	now := h.config.Clock.Now()
	req.wait = waitEnd{ended: ended, took: now - since, waiting: waiting}
	h.count("admission.waits." + ended)
	if choice != nil {
		h.config.Log.Info("request waited for room", "request", req.id, "service", req.service, "server", choice.Server.ID, "priority", place.Priority,
			"workspace", place.Workspace, "used_share", round(place.Used), "waiting", waiting, "waited_ms", int64(now-since), "left_ms", int64(req.deadline-now))
		return choice, nil
	}
	return h.config.Balancer.Choose(now, h.placementQuery(req, tried, now))
}

// await returns the server that a waiting request is assigned to, or nil, and how the wait
// has ended.
func (h *Handler) await(w *waiter, entry *admission.Entry[*waiter]) (*placement.Choice, string) {
	timer := time.NewTimer((w.req.waitsUntil() - w.req.waitsSince).Duration())
	defer timer.Stop()
	ended := "too_long"
	select {
	case choice := <-w.ended:
		return endOf(choice)
	case <-timer.C:
	case <-w.req.ctx.Done():
		ended = "caller_left"
	}
	if h.room.Leave(w.req.service, entry) {
		return nil, ended
	}
	return endOf(<-w.ended)
}

func endOf(choice *placement.Choice) (*placement.Choice, string) {
	if choice == nil {
		return nil, "displaced"
	}
	return choice, "served"
}

// assign assigns a waiting request to a server, if one has room for it.
func (h *Handler) assign(w *waiter) bool {
	now := h.config.Clock.Now()
	query := h.placementQuery(w.req, w.tried, now)
	query.MayWait = true
	choice, _ := h.config.Balancer.Choose(now, query)
	if choice == nil {
		return false
	}
	w.ended <- choice
	return true
}

// release releases a choice and offers the room that it leaves to waiting requests.
func (h *Handler) release(choice *placement.Choice, result placement.Result) {
	now := h.config.Clock.Now()
	h.config.Balancer.Done(now, choice, result)
	if mayHaveRun(result.Outcome) || result.Outcome == placement.Answered {
		h.config.Admission.RecordEnd(now, choice.Server.Service)
	}
	h.room.Offer(choice.Server.Service, offersPerEnd, h.assign)
}

// offerNewRoom offers the room of servers that have been listed to waiting requests.
func (h *Handler) offerNewRoom() {
	h.room.OfferAll(offersPerList, h.assign)
}

func (h *Handler) count(name string) {
	metrics.GetOrRegisterCounter(name, h.config.Metrics).Inc(1)
}
