package main

import "time"

const (
	// largeBody is the size of the answers, slowPace how fast a slow client reads them.
	largeBody = 10 << 20
	slowPace  = 600 << 10
	// slowBudget is the time budget of the requests. A slow client needs 17 s of it.
	slowBudget   = 20 * time.Second
	slowRequests = 5
)

// playSlow plays a client that reads its answers slowly, but steadily.
func playSlow(w *world) (bool, error) {
	err := w.start(shape{
		zones: []string{"sierra-a", "costa-a"}, targets: 2, slots: 9, work: 40 * time.Millisecond, body: largeBody,
		memoryMB: 536, maxFDs: 8192, timeout: 25 * time.Second, objective: 15 * time.Second, maxConns: 400,
	})
	if err != nil {
		return false, err
	}
	u := &user{node: w.nodes[0].front, budget: slowBudget, key: "key-a", receiveBytes: 128 << 10}
	if w.trouble {
		u.bytesPerS = slowPace
	}
	defer u.close()
	lost, whole := 0, 0
	for range slowRequests {
		if u.conn == nil {
			// A small request first, so that the large one comes on a kept connection.
			u.path = "/hold/17"
			w.note("small request: status %d", u.send().status)
		}
		u.path = "/hold" + largePath
		c := u.send()
		runs := w.runs.of(c.id)
		w.note("request %s: status %d, %d of %d bytes in %d ms, run %d times, error %q", c.id, c.status, c.got, c.length, c.endedAt.Sub(c.sentAt).Milliseconds(), len(runs), c.err)
		switch {
		case c.err == "" && c.status == 200:
			whole++
		case c.onKept && len(runs) > 0 && c.endedAt.Sub(c.sentAt) < slowBudget*7/10:
			lost++
		}
	}
	w.note("whole answers %d, requests that ran and whose connections were closed before the whole answer %d (allowed %d)", whole, lost, lostAllowed)
	return lost > lostAllowed, nil
}
