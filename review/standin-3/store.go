package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// store is a stand-in of the platform's store: rows, transactions and the feed.
	store struct {
		startedAt time.Time

		mu      sync.Mutex
		version int64
		// rows is keyed by table, and then by part and key.
		rows    map[string]map[rowName]row
		changes []row
		// changed is closed and replaced at each change.
		changed chan struct{}
	}

	rowName struct{ part, key string }

	row struct {
		Table     string `json:"table"`
		Part      string `json:"part"`
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Version   int64  `json:"ver"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	transaction struct {
		Expected []row `json:"expectedRev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}

	rowsAnswer struct {
		Rows    []row  `json:"rows"`
		HasMore bool   `json:"hasMore"`
		Version int64  `json:"ver"`
		Now     string `json:"now"`
	}
)

// startStore starts a store on a free loopback port and returns its address.
func startStore() (*store, string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &store{startedAt: time.Now(), version: 1, rows: make(map[string]map[rowName]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return s, listener.Addr().String(), nil
}

func (s *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, Now: strconv.FormatInt(time.Since(s.startedAt).Milliseconds(), 10) + "ms"}
}

// put writes a row of the empty part, as the operator and the targets do.
func (s *store) put(table, key string, value any) {
	s.putIn(table, "", key, value)
}

// putIn writes a row of a part.
func (s *store) putIn(table, part, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Part: part, Key: key, Value: raw})
}

// apply makes one change. The caller must hold the lock.
func (s *store) apply(r row) {
	s.version++
	r.Version = s.version
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = make(map[rowName]row)
	}
	if r.Tombstone {
		r.Value = nil
		delete(s.rows[r.Table], rowName{r.Part, r.Key})
	} else {
		s.rows[r.Table][rowName{r.Part, r.Key}] = r
	}
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answer()
	for _, found := range s.rows[query.Get("table")] {
		if found.Part == query.Get("part") && found.Key >= query.Get("from") && (query.Get("to") == "" || found.Key < query.Get("to")) {
			answer.Rows = append(answer.Rows, found)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		answer, changed := s.answer(), s.changed
		for _, c := range s.changes {
			if c.Table == query.Get("table") && c.Version > after {
				answer.Rows = append(answer.Rows, c)
			}
		}
		s.mu.Unlock()
		if len(answer.Rows) == 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	answer := s.answer()
	for _, expected := range t.Expected {
		known := s.rows[expected.Table][rowName{expected.Part, expected.Key}]
		holds = holds && known.Version == expected.Version
		if known.Version > 0 {
			answer.Rows = append(answer.Rows, known)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	for _, write := range t.Writes {
		s.apply(write)
	}
	for _, removed := range t.Remove {
		removed.Tombstone = true
		s.apply(removed)
	}
	_ = json.NewEncoder(w).Encode(s.answer())
}
