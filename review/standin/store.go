package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, with one partition a topic.
type store struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	topics map[string]*topic
	// changed is closed and replaced at each append and each change of state.
	changed chan struct{}
	away    bool
	era     int
	// silentBefore is the number of the first connection that is answered; those before it have gone
	// silent. opened counts the connections.
	silentBefore, opened int
	// refused holds the machines that the store turns away, and calls when each machine called.
	refused map[string]bool
	calls   map[string][]time.Time
}

// topic is one partition. Its records have a key and a value if the topic's name says so.
type topic struct{ records [][]byte }

func (t *trial) startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":8309")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), topics: make(map[string]*topic), changed: make(chan struct{}), era: 1,
		refused: make(map[string]bool), calls: make(map[string][]time.Time),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAppend, s.handleAppend)
	mux.HandleFunc("GET "+pathRead, s.handleRead)
	mux.HandleFunc("GET "+pathNewest, s.handleNewest)
	s.handler = s.available(mux)
	t.serve(s, listener, s.handler)
	return s, nil
}

// serve serves the store's calls until the end of the trial.
func (t *trial) serve(s *store, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ConnContext: s.number}
	go func() { _ = server.Serve(listener) }()
	t.atEnd(func() { _ = server.Close() })
}

// connectionKey is the key of a connection's number in the context of its calls.
type connectionKey struct{}

// number counts a connection.
func (s *store) number(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	return context.WithValue(ctx, connectionKey{}, s.opened-1)
}

// silence makes all open connections go silent for good. New ones work.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentBefore = s.opened
	s.notify()
}

// silent reports whether the call's connection has gone silent. The caller holds mu.
func (s *store) silent(r *http.Request) bool {
	number, ok := r.Context().Value(connectionKey{}).(int)
	return ok && number < s.silentBefore
}

// hang leaves a call without an answer.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// addressFor returns an address of the store for one machine, by which it tells the machines apart.
func (t *trial) addressFor(s *store, m machine, ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":8309")
	if err != nil {
		return "", err
	}
	t.serve(s, listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.called(m.name) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), machineKey{}, m.name)))
	}))
	return listener.Addr().String(), nil
}

// machineKey is the key of the machine's name in the context of its calls.
type machineKey struct{}

// called notes a call, and returns whether the machine is turned away.
func (s *store) called(name string) (refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[name] = append(s.calls[name], time.Now())
	return s.refused[name]
}

// callsSince returns how often each machine called since the given time.
func (s *store) callsSince(since time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int)
	for name, calls := range s.calls {
		for _, at := range calls {
			if at.After(since) {
				counts[name]++
			}
		}
	}
	return counts
}

// turnAway sets the machines that are turned away from now on, also those whose reads wait.
func (s *store) turnAway(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]bool)
	for _, name := range names {
		s.refused[name] = true
	}
	s.notify()
}

// available refuses all calls while the store is away: nothing is done then.
func (s *store) available(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era, silent := s.away, s.era, s.silent(r)
		s.mu.Unlock()
		if silent {
			hang(r)
		}
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

// notify wakes the reads that wait. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write appends the operator's record of a key and returns its offset.
func (s *store) write(name, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	record := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(record, value...))
	s.notify()
	return len(t.records) - 1
}

// copy returns the present contents.
func (s *store) copy() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	topics := make(map[string]*topic, len(s.topics))
	for name, t := range s.topics {
		topics[name] = &topic{records: slices.Clone(t.records)}
	}
	return topics
}

// goAway makes the store refuse all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack makes the store serve again, from a copy.
func (s *store) comeBack(topics map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.topics = false, topics
	s.era++
	s.notify()
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("Topic")
	if name == topicOperator || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if asOf := r.URL.Query().Get("AsOf"); asOf != "" && asOf != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"End": len(t.records)})
		return
	}
	offset := len(t.records)
	for len(body) >= 4 {
		end := 4 + int(binary.BigEndian.Uint32(body))
		t.records = append(t.records, body[4:end])
		body = body[end:]
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("From"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed, restored := s.topic(query.Get("Topic")).records, s.changed, s.era > 1
		away, silent := s.away || s.refused[machineOf(r)], s.silent(r)
		s.mu.Unlock()
		if silent {
			hang(r)
		}
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case restored && from > int64(len(records)):
			writeJSON(w, http.StatusGone, map[string]any{"First": 0})
			return
		case from < int64(len(records)) || !waiting:
			_, _ = w.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			waiting = false
		}
	}
}

func machineOf(r *http.Request) string {
	name, _ := r.Context().Value(machineKey{}).(string)
	return name
}

func encodeRead(records [][]byte, from int64) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[min(from, int64(len(records))):] {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body
}

// newestItem is the newest record of a key. Its value is in base64 in JSON.
type newestItem struct {
	Key    string
	Value  []byte
	Offset int
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("Topic")).records
	s.mu.Unlock()
	newest := make(map[string]newestItem)
	for offset, record := range records {
		keyEnd := 1 + int(record[0])
		key := string(record[1:keyEnd])
		newest[key] = newestItem{Key: key, Value: record[keyEnd:], Offset: offset}
	}
	items := []newestItem{}
	for key, item := range newest {
		if len(item.Value) > 0 && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return strings.Compare(items[i].Key, items[j].Key) < 0 })
	const page = 500
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(page, len(items))], "More": len(items) > page, "End": len(records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
