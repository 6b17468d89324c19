package operator

import (
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/http1/responsetest"
)

// TestInvalidHeads guards against an answer with an invalid head that counts as a success.
func TestInvalidHeads(t *testing.T) {
	for name, head := range responsetest.InvalidHeads {
		t.Run(name, func(t *testing.T) {
			address := responsetest.ServeRaw(t, head+"Content-Length: 2\r\n\r\n{}")
			client := NewClient(ClientConfig{Addresses: []string{address}, Timeout: time.Second})
			if state, err := client.State(); err == nil {
				t.Errorf("got %v", state)
			}
		})
	}
}

// TestEndlessAnswers guards against an instance that answers without end and takes all of the
// memory of the operator's machine. Afterwards an ordinary call succeeds.
func TestEndlessAnswers(t *testing.T) {
	const maxHeap = 256 << 20
	for name := range responsetest.Endless {
		t.Run(name, func(t *testing.T) {
			server := responsetest.ServeEndless(t, "{}")
			client := NewClient(ClientConfig{Addresses: []string{server.Address}, Timeout: 2 * time.Second})
			server.Start(name)
			heap := responsetest.WatchHeap()
			if _, err := client.State(); err == nil {
				t.Error("an answer without end counted as whole")
			}
			if grown := heap.Stop(); grown > maxHeap {
				t.Errorf("the heap grew by %d MiB, bound %d MiB", grown>>20, maxHeap>>20)
			}
			server.Stop()
			if _, err := client.State(); err != nil {
				t.Errorf("an ordinary call: %v", err)
			}
		})
	}
}
