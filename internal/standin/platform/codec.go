package platform

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// minGzipBytes is the size of the smallest response worth compressing.
const minGzipBytes = 256

// readQuery holds the query parameters of a read.
type readQuery struct {
	stream   string
	from     int64
	wait     time.Duration
	maxBytes int
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	values := r.URL.Query()
	from, err := parseInteger(values, "from", 0)
	if err != nil {
		return readQuery{}, err
	}
	waitMS, err := parseInteger(values, "wait_ms", 0)
	if err != nil {
		return readQuery{}, err
	}
	maxBytes, err := parseInteger(values, "max_bytes", defaultReadBytes)
	if err != nil {
		return readQuery{}, err
	}
	return readQuery{
		stream:   mux.Vars(r)["stream"],
		from:     from,
		wait:     time.Duration(min(waitMS, maxReadWait.Milliseconds())) * time.Millisecond,
		maxBytes: int(min(maxBytes, maxReadBytes)),
	}, nil
}

// parseInteger parses a query parameter that is an integer of 0 or more. It
// returns fallback if the parameter is missing.
func parseInteger(values url.Values, key string, fallback int64) (int64, error) {
	text := values.Get(key)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, fmt.Errorf("%s=%q: must be an integer of 0 or more", key, text)
	}
	return value, nil
}

// writeJSON responds with value in JSON, compressed if the client accepts gzip.
func writeJSON(w http.ResponseWriter, r *http.Request, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(data) < minGzipBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.WriteHeader(status)
		w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(status)
	compressor := gzip.NewWriter(w)
	defer compressor.Close()
	compressor.Write(data)
}
