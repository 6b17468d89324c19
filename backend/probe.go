package backend

import (
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

const (
	loadPath     = "/load"
	probeTimeout = 500 * clock.Millis(1)
	// maxReportBytes limits a load report, which takes a few hundred bytes.
	maxReportBytes = 1 << 20
	// busyPercent is the percentage of used slots at which a server counts as busy.
	busyPercent = 90
)

// Probe starts a load probe of every server on which this instance has slots. The
// reports are only hints, since they may be stale or wrong. A server that does not
// respond to a probe stays in use.
func (p *Pool) Probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.slots > 0 && !s.probing {
			s.probing = true
			go p.probe(s)
		}
	}
}

func (p *Pool) probe(s *server) {
	askedAt := p.config.Clock.Now()
	report, ok := p.fetchLoad(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.probing = false
	if !ok {
		s.reportedBusy = false
		return
	}
	switch {
	case report.GetDraining():
		s.markDraining(askedAt)
	case askedAt > s.drainingSince:
		s.reportedDraining = false
	}
	s.reportedBusy = report.GetSlots() > 0 && report.GetInFlight()*100 >= report.GetSlots()*busyPercent
	p.dispatch(p.service(s.info().GetService()))
}

// fetchLoad requests a server's load report. It opens a new connection, so that a
// stalled pooled connection does not look like a stalled server.
func (p *Pool) fetchLoad(s *server) (*wire.LoadReport, bool) {
	deadline := time.Now().Add(probeTimeout.Duration())
	c, err := dial(p.config.Source, s.info().GetAddress(), deadline)
	if err != nil {
		return nil, false
	}
	defer func() { _ = c.Close() }()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.info().GetAddress() + loadPath)
	request.SetConnectionClose()
	hold := p.reports.Hold(memory.Responses)
	defer hold.Release()
	err = c.exchange(request, response, exchangeOptions{requestID: "probe", deadline: deadline, timeLeft: probeTimeout, hold: hold})
	if err != nil || response.StatusCode() != fasthttp.StatusOK {
		return nil, false
	}
	report := &wire.LoadReport{}
	return report, protojson.Unmarshal(response.Body(), report) == nil
}
