package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["truncated"] = truncatedFailure }

// truncatedFailure lets a target break off an answer of status 500 while the only other
// target of its service drains. The client must not take what it gets for the whole
// answer.
func truncatedFailure(w *world) int {
	const (
		requests = 100
		// everyNth answer is the target's own failure, and is broken off.
		everyNth = 33
		whole    = 4000
		part     = 1200
	)
	w.start(2, 2, 10*time.Millisecond)
	faulty, leaving := w.targets[0], w.targets[1]
	w.store.put("servers", leaving.id, leaving.entry("draining"))
	w.record("target %s drains", leaving.id)
	time.Sleep(3 * time.Second)
	page := strings.Repeat("failure ", whole/8)
	faulty.after = func(rw http.ResponseWriter, r *http.Request, _ []byte) bool {
		if !strings.HasSuffix(r.URL.Path, "/f") {
			return false
		}
		if !w.trouble {
			rw.WriteHeader(http.StatusInternalServerError)
			_, _ = rw.Write([]byte(page))
			return true
		}
		conn, buffer, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return true
		}
		id := r.Header.Get("X-Bulrushferry-Request-Id")
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 500 Internal Server Error\r\nX-Bulrushferry-Request-Id: %s\r\nX-Bulrushferry-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, rw.Header().Get("X-Bulrushferry-Response-Signature"), len(page), page[:part])
		_ = buffer.Flush()
		_ = conn.Close()
		w.record("breaks %s off after %d of %d bytes", id, part, len(page))
		return true
	}
	broken := 0
	for i := range requests {
		id := fmt.Sprintf("look-%d", i)
		path := "/look/" + id
		if i%everyNth == everyNth-1 {
			path += "/f"
		}
		c, err := dial(w.instances[i%2].front)
		must(err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		w.record("send   %s", id)
		_, err = c.Write([]byte(head("GET", path, id, 4*time.Second)))
		must(err)
		got := c.read("GET")
		_ = c.Close()
		w.record("answer %s: %s", id, got)
		if got.err == nil && got.signature != "" && !got.isWhole(id) && string(got.body) != page {
			broken++
			w.record("MIXED  %s: a complete answer of status %d with the target's signature has %d of the target's %d bytes", id, got.status, len(got.body), len(page))
		}
	}
	return w.verdict(broken > 0, "%d of %d answers ended early and looked complete; %d were broken off", broken, requests, requests/everyNth)
}
