package memory

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// RefusalLog logs what a process refuses or closes for want of room, with at most one line
// in refusalLogInterval for each reason. It is safe for concurrent use.
type RefusalLog struct {
	log     hclog.Logger
	account *Account

	mu       sync.Mutex
	loggedAt map[string]time.Time
	unlogged map[string]int
}

const refusalLogInterval = time.Second

// NewRefusalLog returns a RefusalLog that logs what the account holds, which may be nil.
func NewRefusalLog(log hclog.Logger, account *Account) *RefusalLog {
	return &RefusalLog{log: log, account: account, loggedAt: make(map[string]time.Time), unlogged: make(map[string]int)}
}

// Note records one refusal at a time. The fields are added to the line if one is due.
func (l *RefusalLog) Note(now time.Time, reason string, fields ...any) {
	count := l.count(now, reason)
	if count == 0 {
		return
	}
	usage := l.account.Usage()
	fields = append(fields, "reason", reason, "count", count)
	for kind := range Kinds {
		fields = append(fields, kind.String(), usage.Held[kind])
	}
	l.log.Warn("no room for callers", append(fields, "limit", usage.Limits.Total)...)
}

// count returns the number of refusals since the last line, or zero if no line is due.
func (l *RefusalLog) count(now time.Time, reason string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged[reason]++
	if now.Sub(l.loggedAt[reason]) < refusalLogInterval {
		return 0
	}
	count := l.unlogged[reason]
	l.loggedAt[reason], l.unlogged[reason] = now, 0
	return count
}
