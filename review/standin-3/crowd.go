package main

import (
	"sync"
	"time"
)

const (
	// crowdUsers are the clients at each instance at all times. crowdFactor is how many times as
	// many there are for crowdTime, as in the burst of the site file.
	crowdUsers  = 1000
	crowdFactor = 1.7
	crowdTime   = 3 * time.Second
	crowdGap    = 3 * time.Second
	crowds      = 14
	// crowdPoll is the time between two requests of a client.
	crowdPoll = 800 * time.Millisecond
)

// playCrowd plays bursts of clients at instances whose descriptors do not suffice for all of
// them. The clients of a burst leave when it is over.
func playCrowd(w *world) (bool, error) {
	err := w.start(shape{
		zones: []string{"sierra-a", "costa-a"}, targets: 12, slots: 60, work: 100 * time.Millisecond, body: 400,
		memoryMB: 136, maxFDs: 2870, timeout: 4 * time.Second, objective: 600 * time.Millisecond, maxConns: 400,
	})
	if err != nil {
		return false, err
	}
	var users sync.WaitGroup
	stopped := make(chan struct{})
	var resolvers []*resolver
	for _, n := range w.nodes {
		r := &resolver{directory: n.directory, zone: n.zone, region: n.region}
		resolvers = append(resolvers, r)
		r.lookup()
		users.Go(func() { r.run(stopped) })
		for range crowdUsers {
			users.Go(func() { w.poll(r, crowdPoll, stopped) })
		}
	}
	time.Sleep(crowdGap)
	for number := 0; number < crowds && w.ended() == 0; number++ {
		if w.trouble {
			w.note("burst %d begins at %s", number+1, time.Now().Format("15:04:05.000"))
		}
		over := make(chan struct{})
		extra := crowdUsers * (crowdFactor - 1)
		for _, r := range resolvers {
			for range int(extra) {
				if w.trouble {
					users.Go(func() { w.poll(r, crowdPoll, over) })
				}
			}
		}
		time.Sleep(crowdTime)
		close(over)
		time.Sleep(crowdGap)
	}
	close(stopped)
	users.Wait()
	w.note("instances that ended by themselves: %d of %d", w.ended(), len(w.nodes))
	if w.ended() > 0 {
		w.keepLogs()
	}
	lost, err := w.judgeLost()
	return lost && w.ended() > 0, err
}

// ended returns how many instances have ended by themselves.
func (w *world) ended() int {
	count := 0
	for _, n := range w.nodes {
		if n.hasExited() {
			count++
		}
	}
	return count
}
