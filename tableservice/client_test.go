package tableservice

import (
	"context"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/http1/responsetest"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
)

// defaultMemoryMB is the memory of a machine whose settings state none.
const defaultMemoryMB = 512

// TestEndlessAnswers guards against a table service that answers without end and takes all of
// the process's memory. Afterwards an ordinary call succeeds.
func TestEndlessAnswers(t *testing.T) {
	body, err := proto.Marshal(&wire.RowList{Rows: []*wire.Row{{Key: "k", Version: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	const maxHeap = defaultMemoryMB << 20
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memory.CollectorLimit(defaultMemoryMB)))
	for name := range responsetest.Endless {
		t.Run(name, func(t *testing.T) {
			server := responsetest.ServeEndless(t, string(body))
			client := NewClient(ClientConfig{Address: server.Address, Timeout: time.Second})
			server.Start(name)
			heap := responsetest.WatchHeap()
			var calls sync.WaitGroup
			for range maxConnections {
				calls.Go(func() {
					if _, err := client.Read(context.Background(), "k"); err == nil {
						t.Error("an answer without end counted as whole")
					}
				})
			}
			calls.Wait()
			grown := heap.Stop()
			t.Logf("the heap grew by %d MiB, bound %d MiB", grown>>20, maxHeap>>20)
			if grown > maxHeap {
				t.Error("the heap grew beyond its bound")
			}
			server.Stop()
			rows, err := client.Read(context.Background(), "k")
			if err != nil || len(rows) != 1 || rows[0].GetVersion() != 3 {
				t.Errorf("an ordinary call: %v, %v", rows, err)
			}
		})
	}
}

// TestInvalidHeads guards against an answer with an invalid head that counts as a success: an
// empty body is one.
func TestInvalidHeads(t *testing.T) {
	for name, head := range responsetest.InvalidHeads {
		t.Run(name, func(t *testing.T) {
			address := responsetest.ServeRaw(t, head+"Content-Length: 0\r\n\r\n")
			client := NewClient(ClientConfig{Address: address, Timeout: time.Second})
			if rows, err := client.Read(context.Background(), "k"); err == nil {
				t.Errorf("read %v", rows)
			}
			if _, err := client.Commit(context.Background(), &wire.Transaction{}); !errorx.IsOfType(err, ErrUnknownResult) {
				t.Errorf("commit: got %v, want %v", err, ErrUnknownResult)
			}
		})
	}
}
