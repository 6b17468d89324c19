package lending

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// BenchmarkAdmit measures admission with six borrowed loans.
func BenchmarkAdmit(b *testing.B) {
	l := NewLedger(LedgerConfig{LoanTerm: modelTerm}, 0)
	l.SetBase(0, Allocation{Rate: 1e9, Burst: 1e9})
	for i := range 6 {
		l.AcceptLoan(0, 0, fmt.Sprint(i), Loan{ID: fmt.Sprint(i), Allocation: Allocation{Rate: 1, Burst: 1}})
	}
	now := clock.Millis(0)
	for b.Loop() {
		now++
		l.RecordRequest(now)
		l.Admit(now)
	}
}

// BenchmarkLedgerMemory reports the memory of a new ledger.
func BenchmarkLedgerMemory(b *testing.B) {
	const ledgers = 10_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make([]*Ledger, ledgers)
	for i := range kept {
		kept[i] = NewLedger(LedgerConfig{LoanTerm: modelTerm}, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		kept[0].Tokens(0)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/ledgers, "bytes/workspace")
	runtime.KeepAlive(kept)
}
