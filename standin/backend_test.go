package main

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/types/known/durationpb"
)

// startServer starts a backend server whose requests take far longer than the test.
func startServer(t *testing.T) *backendServer {
	t.Helper()
	service := &wire.DeploymentService{
		Name: "desk", Servers: 1, Slots: 2, Connections: 9, ServiceTime: durationpb.New(time.Minute),
	}
	sim := newSimulator(&wire.Deployment{
		Regions: []*wire.DeploymentRegion{{Name: "a", FailureDomains: []string{"a-1"}, EntryPrefix: "127.", ServerPrefix: "127.0.0."}},
	})
	s := newBackendServer(sim, service, 0)
	s.info.Address = "127.0.0.1:0"
	s.slowFactor = 1000
	if err := s.listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.listener.Close() })
	return s
}

func send(t *testing.T, s *backendServer, deadline time.Duration) {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	request := &fasthttp.Request{}
	request.SetRequestURI("http://desk/")
	request.Header.Set(deadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	if _, err := request.WriteTo(c); err != nil {
		t.Fatal(err)
	}
}

// TestRequestReleasesSlot checks that a request stops counting as in flight once its
// deadline passes or its server goes down, and not before.
func TestRequestReleasesSlot(t *testing.T) {
	cases := map[string]struct {
		deadline time.Duration
		kill     bool
		want     int
	}{
		"the deadline passes":         {deadline: 50 * time.Millisecond, want: 0},
		"the server is killed":        {deadline: time.Minute, kill: true, want: 0},
		"the deadline has not passed": {deadline: time.Minute, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			send(t, s, c.deadline)
			time.Sleep(100 * time.Millisecond)
			s.mu.Lock()
			s.setDown(c.kill)
			s.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.inFlight != c.want {
				t.Errorf("%d requests are in flight, want %d", s.inFlight, c.want)
			}
		})
	}
}
