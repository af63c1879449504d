package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time that the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// maxPageItems bounds the items of one page of the newest records.
	maxPageItems = 500
	// maxReadWait bounds the wait of a read for a record.
	maxReadWait = 30 * time.Second
)

// Store is a stand-in of the platform's metadata store with one partition a topic.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

// topic holds the records of one topic, and the newest one of each key.
type topic struct {
	records [][]byte
	newest  map[string]newestRecord
}

// newestRecord is the newest record of a key.
type newestRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// StartStore starts a store on a free loopback port.
func StartStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, topics: make(map[string]*topic), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc(named("append"), s.serveAppend)
	mux.HandleFunc(named("read"), s.serveRead)
	mux.HandleFunc(named("newest"), s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Write writes a record of the operator. It is acknowledged on return.
func (s *Store) Write(key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(operatorTopic, append(record, value...))
}

func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]newestRecord)}
	}
	return s.topics[name]
}

// add appends a record. The caller holds mu.
func (s *Store) add(name string, record []byte) int64 {
	t := s.topic(name)
	offset := int64(len(t.records))
	t.records = append(t.records, record)
	if strings.HasPrefix(name, "keyed.") && len(record) > 0 && len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = newestRecord{Key: key, Value: value, Offset: offset}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	query := r.URL.Query()
	name := query.Get("Topic")
	if name == operatorTopic || name == serversTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if text := query.Get("AsOf"); text != "" && text != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"End": len(t.records)})
		return
	}
	first := int64(len(t.records))
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size {
			break
		}
		s.add(name, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": first, "End": int64(len(t.records))})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("From"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(min(maxReadWait, time.Duration(waitMS)*time.Millisecond))
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("Topic")), s.changed
		if len(t.records) > from || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range t.records[min(from, len(t.records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			s.mu.Unlock()
			time.Sleep(storeLatency)
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	query := r.URL.Query()
	after := query.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("Topic"))
	items := []newestRecord{}
	for _, record := range t.newest {
		if record.Key > after {
			items = append(items, record)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPageItems
	items = items[:min(len(items), maxPageItems)]
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "More": more, "End": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
