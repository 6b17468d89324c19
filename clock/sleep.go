package clock

import (
	"context"
	"time"
)

// Sleep waits for the given duration, or until the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
