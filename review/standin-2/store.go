package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store in the form of its pages.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version int64  `json:"ver"`
	Now     string `json:"now"`
}

// store is a stand-in of the platform's store: tables of rows, transactions, reads and feeds. It
// answers at once and keeps all of its history.
type store struct {
	startedAt time.Time

	mu      sync.Mutex
	version int64
	rows    map[string]row
	changes []row
	changed chan struct{}
	// lateRemovals has removals of rows get no answer and be made lateness later.
	lateRemovals atomic.Bool
	// writes and lateWrites count the transactions, and those without an answer.
	writes, lateWrites atomic.Int64
}

// lateness is how long after it came a write without an answer is made.
const lateness = 4 * time.Second

func newStore() *store {
	return &store{startedAt: time.Now(), version: 1, rows: make(map[string]row), changed: make(chan struct{})}
}

// open serves the store at a free port of an IP address and returns the address.
func (s *store) open(ip string) (string, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *store) now() string {
	return strconv.FormatInt(time.Since(s.startedAt).Milliseconds(), 10) + "ms"
}

func rowID(table, part, key string) string {
	return table + "\x00" + part + "\x00" + key
}

// put writes a value as JSON, or bytes as they are, under a key. Nil removes the row.
func (s *store) put(table, part, key string, value any) {
	r := row{Table: table, Part: part, Key: key}
	switch v := value.(type) {
	case nil:
		r.Tombstone = true
	case []byte:
		r.Value = v
	default:
		r.Value, _ = json.Marshal(v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(r)
}

// apply makes one change. The caller must hold the lock.
func (s *store) apply(r row) {
	s.version++
	r.Version = s.version
	id := rowID(r.Table, r.Part, r.Key)
	if r.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	answer := rowsAnswer{Version: s.version, Rows: []row{}, Now: s.now()}
	for _, found := range s.rows {
		if found.Table == q.Get("table") && found.Part == q.Get("part") && found.Key >= q.Get("from") && (q.Get("to") == "" || found.Key < q.Get("to")) {
			answer.Rows = append(answer.Rows, found)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		answer := rowsAnswer{Version: s.version, Rows: []row{}, Now: s.now()}
		for _, change := range s.changes {
			if change.Table == q.Get("table") && change.Version > after {
				answer.Rows = append(answer.Rows, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.writes.Add(1)
	if len(tx.Remove) > 0 && s.lateRemovals.Load() {
		s.lateWrites.Add(1)
		time.AfterFunc(lateness, func() { s.remove(tx.Remove) })
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range tx.Expected {
		if s.rows[rowID(expected.Table, expected.Part, expected.Key)].Version != expected.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(rowsAnswer{Version: s.version, Rows: []row{}, Now: s.now()})
			return
		}
	}
	for _, change := range append(tx.Writes, tx.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, write := range tx.Writes {
		s.apply(write)
	}
	for _, removal := range tx.Remove {
		removal.Tombstone = true
		s.apply(removal)
	}
	_ = json.NewEncoder(w).Encode(rowsAnswer{Version: s.version, Rows: []row{}, Now: s.now()})
}

// remove removes rows on which no condition was put.
func (s *store) remove(rows []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, removal := range rows {
		removal.Tombstone = true
		s.apply(removal)
	}
}
