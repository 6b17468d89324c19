package clock

import (
	"context"
	"time"
)

// Pause waits for a span, or until the context ends.
func Pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
