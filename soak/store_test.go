package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"testing"
	"time"
)

type (
	// store stands in for the platform's store of rows.
	store struct {
		mu      sync.Mutex
		version int64
		rows    map[string]map[string]storeRow
		changes []storeRow
		// wake is closed with each change.
		wake chan struct{}
		// busy makes the store refuse all calls; outages are the times when it
		// did, the last one without an end while it lasts.
		busy    bool
		outages []outage
		// forgotten is the version before which the history is gone.
		forgotten int64
	}

	outage struct{ from, to time.Time }

	storeRow struct {
		Table     string `json:"table"`
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Version   int64  `json:"ver"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	storeAnswer struct {
		Rows    []storeRow `json:"rows"`
		HasMore bool       `json:"hasMore"`
		Version int64      `json:"ver"`
		Now     string     `json:"now"`
	}
)

// startStore serves a store on loopback until the test ends.
func startStore(t *testing.T) (*store, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &store{version: 1, rows: make(map[string]map[string]storeRow), wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s, listener.Addr().String()
}

// put writes a row, or removes it where the value is nil.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := storeRow{Table: table, Key: key, Tombstone: value == nil}
	if value != nil {
		row.Value, _ = json.Marshal(value)
	}
	s.change(row)
}

// change applies one row. The caller holds the lock.
func (s *store) change(row storeRow) {
	s.version++
	row.Version = s.version
	if s.rows[row.Table] == nil {
		s.rows[row.Table] = make(map[string]storeRow)
	}
	if row.Tombstone {
		delete(s.rows[row.Table], row.Key)
	} else {
		s.rows[row.Table][row.Key] = row
	}
	s.changes = append(s.changes, row)
	close(s.wake)
	s.wake = make(chan struct{})
}

// setBusy makes the store refuse calls, or serve them again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if busy && !s.busy {
		s.outages = append(s.outages, outage{from: time.Now()})
	}
	if !busy && s.busy {
		s.outages[len(s.outages)-1].to = time.Now()
	}
	s.busy = busy
}

// wellTime returns for how much of a span the store served. Nobody can learn of
// a change while it refuses all.
func (s *store) wellTime(from, to time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	well := to.Sub(from)
	for _, o := range s.outages {
		end := o.to
		if end.IsZero() || end.After(to) {
			end = to
		}
		begin := o.from
		if begin.Before(from) {
			begin = from
		}
		well -= max(0, end.Sub(begin))
	}
	return well
}

// forget drops the history.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.changes = nil
}

func (s *store) refuses(w http.ResponseWriter) bool {
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.busy
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w) {
		return
	}
	answer := storeAnswer{Version: s.version, Rows: []storeRow{}, Now: "1ms"}
	for _, row := range s.rows[r.URL.Query().Get("table")] {
		if row.Key >= r.URL.Query().Get("from") {
			answer.Rows = append(answer.Rows, row)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.refuses(w) {
			s.mu.Unlock()
			return
		}
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		answer := storeAnswer{Version: s.version, Rows: []storeRow{}, Now: "1ms"}
		for _, row := range s.changes {
			if row.Table == r.URL.Query().Get("table") && row.Version > after {
				answer.Rows = append(answer.Rows, row)
			}
		}
		wake := s.wake
		s.mu.Unlock()
		timedOut := false
		if len(answer.Rows) == 0 {
			select {
			case <-wake:
				continue
			case <-deadline:
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
		if !timedOut || len(answer.Rows) == 0 {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Writes []storeRow `json:"writes"`
		Remove []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w) {
		return
	}
	for _, row := range tx.Writes {
		s.change(row)
	}
	for _, row := range tx.Remove {
		row.Tombstone = true
		s.change(row)
	}
	_ = json.NewEncoder(w).Encode(storeAnswer{Version: s.version, Now: "1ms"})
}
