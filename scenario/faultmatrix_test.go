package scenario

import (
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/load"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// faultCase is a fault and the bounds on its effect.
type faultCase struct {
	// inject starts the fault, and ends it unless it lasts to the end of the load.
	inject func(f *fleet)
	// maxUnserved bounds the share of requests within the rate limits that may be
	// refused or lost; zero sets no bound.
	maxUnserved float64
	// maxUnknown bounds the share of requests that may end without a known outcome;
	// zero sets no bound.
	maxUnknown float64
}

const (
	matrixRateShare  = 0.5
	matrixDuration   = 12 * time.Second
	delayBeforeFault = 2 * time.Second
)

// faultMatrix holds the faults to inject under load. The guarantees are checked after
// each.
var faultMatrix = map[string]faultCase{
	"instance killed": {maxUnserved: 0.005, maxUnknown: 0.01, inject: func(f *fleet) {
		f.kill("sierra-2")
	}},
	"instance killed and replaced": {maxUnserved: 0.005, maxUnknown: 0.01, inject: func(f *fleet) {
		f.kill("costa-2")
		time.Sleep(time.Second)
		f.startInstance("costa-2")
	}},
	"two instances killed together": {maxUnknown: 0.02, inject: func(f *fleet) {
		f.kill("sierra-1")
		f.kill("austro-1")
	}},
	"region of instances lost": {maxUnserved: 0.005, inject: func(f *fleet) {
		for _, name := range []string{"sierra-1", "sierra-2", "sierra-3"} {
			f.kill(name)
		}
	}},
	"instance frozen": {maxUnserved: 0.005, inject: func(f *fleet) {
		f.signal("austro-2", syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		f.signal("austro-2", syscall.SIGCONT)
	}},
	"store down": {maxUnserved: 0.005, maxUnknown: 0.001, inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(true)})
		time.Sleep(6 * time.Second)
		f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(false)})
	}},
	"store slow": {maxUnserved: 0.005, maxUnknown: 0.001, inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{StoreDelayMs: proto.Int64(700)})
		time.Sleep(6 * time.Second)
		f.setFault(&wire.FaultRequest{StoreDelayMs: proto.Int64(0)})
	}},
	"store down and instance killed": {inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(true)})
		time.Sleep(time.Second)
		f.kill("costa-1")
		time.Sleep(5 * time.Second)
		f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(false)})
	}},
	"instance cut off from the store": {maxUnserved: 0.005, maxUnknown: 0.001, inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{CutInstances: []string{"sierra-3"}})
		time.Sleep(6 * time.Second)
		f.setFault(&wire.FaultRequest{ClearCuts: true})
	}},
	"backend server killed": {inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{Server: "probador-1", Down: proto.Bool(true)})
		f.setFault(&wire.FaultRequest{Server: "pedidos-2", Down: proto.Bool(true)})
		time.Sleep(3 * time.Second)
		f.setFault(&wire.FaultRequest{Server: "probador-1", Down: proto.Bool(false)})
		f.setFault(&wire.FaultRequest{Server: "pedidos-2", Down: proto.Bool(false)})
	}},
	"backend server leaves, list lags": {maxUnserved: 0.005, maxUnknown: 0.001, inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{ListLagMs: proto.Int64(8000)})
		f.setFault(&wire.FaultRequest{Server: "probador-4", Leaving: proto.Bool(true)})
		f.setFault(&wire.FaultRequest{Server: "pedidos-4", Leaving: proto.Bool(true)})
	}},
	"connections go silent": {inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{Server: "probador-3", Silence: true})
		f.setFault(&wire.FaultRequest{Server: "probador-5", Silence: true})
		f.setFault(&wire.FaultRequest{Server: "pedidos-3", Silence: true})
	}},
	"responses truncated and mismatched": {inject: func(f *fleet) {
		for _, server := range []string{"probador-1", "probador-2", "probador-6", "pedidos-1"} {
			f.setFault(&wire.FaultRequest{Server: server, CutAnswers: proto.Int32(5)})
			time.Sleep(500 * time.Millisecond)
			f.setFault(&wire.FaultRequest{Server: server, CrossAnswers: proto.Int32(5)})
		}
	}},
	"backend server ten times slower reports itself idle": {inject: func(f *fleet) {
		f.setFault(&wire.FaultRequest{Server: "probador-2", SlowFactor: proto.Float64(10), ReportIdle: proto.Bool(true)})
	}},
}

// TestFaultMatrix injects each fault into a fleet under load.
func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	for name, c := range faultMatrix {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "villacres")
			result := f.runUnderLoad(f.newLoadConfig(matrixRateShare, matrixDuration), func() {
				time.Sleep(delayBeforeFault)
				c.inject(f)
			})
			c.check(t, result)
		})
	}
}

func (c faultCase) check(t *testing.T, result *load.Result) {
	t.Helper()
	if share := result.UnservedShare(); c.maxUnserved > 0 && share > c.maxUnserved {
		t.Errorf("share of requests within the rate limits that were not served: %.4f, want at most %.4f", share, c.maxUnserved)
	}
	if share := float64(result.Unknown+result.Failed) / float64(result.Sent); c.maxUnknown > 0 && share > c.maxUnknown {
		t.Errorf("share of requests without a known outcome: %.4f, want at most %.4f", share, c.maxUnknown)
	}
}
