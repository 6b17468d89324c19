package once

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
)

// BenchmarkAction measures beginning and ending one action.
func BenchmarkAction(b *testing.B) {
	table := NewTable(TableConfig{Incarnation: "a-1", MaxActions: 1 << 30, MaxResponseBytes: 1000})
	n := 0
	for b.Loop() {
		n++
		request := Request{Action: ActionPrefix("a-1", 1) + fmt.Sprint(n), Workspace: "w", Fingerprint: make([]byte, 32)}
		table.Begin(EpochLength, request)
		table.End(request, finished(request, wire.Outcome_OUTCOME_DONE))
	}
}

// BenchmarkActionMemory reports the memory of a remembered action.
func BenchmarkActionMemory(b *testing.B) {
	const actions = 10_000
	var before, after runtime.MemStats
	table := NewTable(TableConfig{Incarnation: "a-1", MaxActions: actions, MaxResponseBytes: 1000})
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range actions {
		request := Request{Action: ActionPrefix("a-1", 1) + fmt.Sprint(i), Workspace: "w", Fingerprint: make([]byte, 32)}
		table.Begin(EpochLength, request)
		table.End(request, finished(request, wire.Outcome_OUTCOME_DONE))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		table.Len()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/actions, "bytes/action")
}
