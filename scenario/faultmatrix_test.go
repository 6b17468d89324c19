package scenario

import (
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/load"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

type faultRow struct {
	// breakIt brings the fault about and ends it again.
	breakIt func(f *fleet)
	// maxWrongful bounds the share of entitled requests that may be refused or
	// lost; zero means that the row sets no bound.
	maxWrongful float64
	// maxUnknown bounds the share of requests whose outcome is unknown.
	maxUnknown float64
}

const (
	matrixLoad     = 0.5
	matrixDuration = 12 * time.Second
	beforeFault    = 2 * time.Second
)

// faultMatrix holds the faults that are brought about under load. The promises
// are checked after every row.
var faultMatrix = map[string]faultRow{
	"instance killed": {maxWrongful: 0.005, maxUnknown: 0.01, breakIt: func(f *fleet) {
		f.kill("sierra-2")
	}},
	"instance killed and replaced": {maxWrongful: 0.005, maxUnknown: 0.01, breakIt: func(f *fleet) {
		f.kill("costa-2")
		time.Sleep(time.Second)
		f.startEntry("costa-2")
	}},
	"two instances killed together": {maxUnknown: 0.02, breakIt: func(f *fleet) {
		f.kill("sierra-1")
		f.kill("austro-1")
	}},
	"region of instances lost": {maxWrongful: 0.005, breakIt: func(f *fleet) {
		for _, name := range []string{"sierra-1", "sierra-2", "sierra-3"} {
			f.kill(name)
		}
	}},
	"instance frozen": {maxWrongful: 0.005, breakIt: func(f *fleet) {
		f.signal("austro-2", syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		f.signal("austro-2", syscall.SIGCONT)
	}},
	"store down": {maxWrongful: 0.005, maxUnknown: 0.001, breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{StoreDown: proto.Bool(true)})
		time.Sleep(6 * time.Second)
		f.fault(&wire.FaultRequest{StoreDown: proto.Bool(false)})
	}},
	"store slow": {maxWrongful: 0.005, maxUnknown: 0.001, breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{StoreDelayMs: proto.Int64(700)})
		time.Sleep(6 * time.Second)
		f.fault(&wire.FaultRequest{StoreDelayMs: proto.Int64(0)})
	}},
	"store down and instance killed": {breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{StoreDown: proto.Bool(true)})
		time.Sleep(time.Second)
		f.kill("costa-1")
		time.Sleep(5 * time.Second)
		f.fault(&wire.FaultRequest{StoreDown: proto.Bool(false)})
	}},
	"instance cut off from the store": {maxWrongful: 0.005, maxUnknown: 0.001, breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{CutInstances: []string{"sierra-3"}})
		time.Sleep(6 * time.Second)
		f.fault(&wire.FaultRequest{ClearCuts: true})
	}},
	"backend server killed": {breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{Server: "probador-1", Down: proto.Bool(true)})
		f.fault(&wire.FaultRequest{Server: "pedidos-2", Down: proto.Bool(true)})
		time.Sleep(3 * time.Second)
		f.fault(&wire.FaultRequest{Server: "probador-1", Down: proto.Bool(false)})
		f.fault(&wire.FaultRequest{Server: "pedidos-2", Down: proto.Bool(false)})
	}},
	"backend server leaves, list lags": {maxWrongful: 0.005, maxUnknown: 0.001, breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{ListLagMs: proto.Int64(8000)})
		f.fault(&wire.FaultRequest{Server: "probador-4", Leaving: proto.Bool(true)})
		f.fault(&wire.FaultRequest{Server: "pedidos-4", Leaving: proto.Bool(true)})
	}},
	"connections go silent": {breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{Server: "probador-3", Silence: true})
		f.fault(&wire.FaultRequest{Server: "probador-5", Silence: true})
		f.fault(&wire.FaultRequest{Server: "pedidos-3", Silence: true})
	}},
	"answers cut and crossed": {breakIt: func(f *fleet) {
		for _, server := range []string{"probador-1", "probador-2", "probador-6", "pedidos-1"} {
			f.fault(&wire.FaultRequest{Server: server, CutAnswers: proto.Int32(5)})
			time.Sleep(500 * time.Millisecond)
			f.fault(&wire.FaultRequest{Server: server, CrossAnswers: proto.Int32(5)})
		}
	}},
	"backend server ten times slower reports itself idle": {breakIt: func(f *fleet) {
		f.fault(&wire.FaultRequest{Server: "probador-2", SlowFactor: proto.Float64(10), ReportIdle: proto.Bool(true)})
	}},
}

func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	for name, row := range faultMatrix {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "villacres")
			result := f.underLoad(f.loadConfig(matrixLoad, matrixDuration), func() {
				time.Sleep(beforeFault)
				row.breakIt(f)
			})
			row.check(t, result)
		})
	}
}

func (r faultRow) check(t *testing.T, result *load.Result) {
	t.Helper()
	if share := result.WrongfulShare(); r.maxWrongful > 0 && share > r.maxWrongful {
		t.Errorf("%.4f of the entitled requests were not served, bound %.4f", share, r.maxWrongful)
	}
	if share := float64(result.Unknown+result.Failed) / float64(result.Sent); r.maxUnknown > 0 && share > r.maxUnknown {
		t.Errorf("%.4f of the requests ended unknown, bound %.4f", share, r.maxUnknown)
	}
}
