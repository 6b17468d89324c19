package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["unmarked"] = unmarkedRejection }

// unmarkedRejection sends orders to eight targets, one of which answers 503 to some of the
// orders that it has run, without X-Bulrushferry-Not-Executed.
func unmarkedRejection(w *world) int {
	const orders = 120
	w.start(2, 8, 20*time.Millisecond)
	var ran atomic.Int64
	w.targets[0].after = func(rw http.ResponseWriter, _ *http.Request, _ []byte) bool {
		// Two of five are under the share of 0.45.
		if n := ran.Add(1); !w.trouble || n%5 >= 2 {
			return false
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		_, _ = rw.Write([]byte("the ledger is locked"))
		return true
	}
	broken, served := 0, 0
	for i := range orders {
		id := fmt.Sprintf("order-%d", i)
		c, err := dial(w.instances[i%2].front)
		must(err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		w.record("send   %s", id)
		_, err = c.Write([]byte(head("POST", fmt.Sprintf("/pay/%d", i), id, 4*time.Second, "Content-Length: 4") + "paid"))
		must(err)
		got := c.read("POST")
		_ = c.Close()
		w.record("answer %s: %s", id, got)
		if got.isWhole(id) {
			served++
		}
		if got.status == http.StatusServiceUnavailable && len(w.runs.of(id)) > 0 {
			broken++
			w.record("REFUSED %s was answered 503 and has run", id)
		}
	}
	return w.verdict(broken > 0, "%d of %d orders were answered 503 and had run; %d were answered with success", broken, orders, served)
}
