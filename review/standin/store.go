package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	started time.Time
	version int64
	rows    map[rowKey]row
	changes []row
	changed chan struct{}
}

type rowKey struct{ table, part, key string }

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

const pageRows = 500

func newStore() *store {
	return &store{started: time.Now(), version: 1, rows: make(map[rowKey]row), changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	return mux
}

// put writes a row of the operator or of a target; nil removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := row{Table: table, Key: key, Tombstone: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	s.version++
	s.apply(r)
	s.wake()
}

// apply stores a row at the present version. The caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, fields map[string]any) {
	fields["ver"] = s.version
	fields["now"] = strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, stored := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, stored)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	s.reply(w, map[string]any{"rows": list[:min(len(list), limit)], "hasMore": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		list := []row{}
		for _, change := range s.changes {
			if change.Table == q.Get("table") && change.Version > after {
				list = append(list, change)
			}
		}
		if len(list) > 0 || over {
			s.reply(w, map[string]any{"rows": list})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.reply(w, map[string]any{"rows": []row{}})
			return
		}
	}
	s.version++
	for _, change := range tx.Writes {
		change.Tombstone = false
		s.apply(change)
	}
	for _, change := range tx.Remove {
		change.Tombstone = true
		s.apply(change)
	}
	s.wake()
	s.reply(w, map[string]any{})
}
