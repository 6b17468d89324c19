package backend

import (
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

const (
	loadPath     = "/load"
	probeTimeout = 500 * clock.Millis(1)
	// busyShare is the part of its slots, in percent, from which a server
	// calls itself busy.
	busyShare = 90
)

// Probe asks every server that this instance holds units of for its load. The
// answers are hints: they may be old or wrong, and a server that does not
// answer is not taken out of use for that.
func (p *Pool) Probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.units > 0 && !s.probing {
			s.probing = true
			go p.probe(s)
		}
	}
}

func (p *Pool) probe(s *server) {
	report, ok := p.askLoad(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.probing = false
	if !ok {
		s.busy = false
		return
	}
	s.draining = report.GetDraining()
	s.busy = report.GetInFlight()*100 >= report.GetSlots()*busyShare
	p.dispatch(p.table(s.info.GetService()))
}

// askLoad makes a probe over a connection of its own, so that a silent
// connection does not look like a silent server.
func (p *Pool) askLoad(s *server) (*wire.LoadReport, bool) {
	deadline := time.Now().Add(probeTimeout.Duration())
	c, err := dial(p.config.Source, s.info.GetAddress(), deadline)
	if err != nil {
		return nil, false
	}
	defer func() { _ = c.Close() }()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.info.GetAddress() + loadPath)
	request.SetConnectionClose()
	err = c.exchange(request, response, exchangeLimits{requestID: "probe", deadline: deadline, budget: probeTimeout})
	if err != nil {
		return nil, false
	}
	report := &wire.LoadReport{}
	return report, protojson.Unmarshal(response.Body(), report) == nil
}
