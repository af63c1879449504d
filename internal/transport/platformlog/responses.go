package platformlog

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type appendResponse struct {
	Offset *int64 `json:"offset"`
}

func (r appendResponse) offset() (int64, error) {
	if r.Offset == nil || *r.Offset < 0 {
		return 0, malformed("append response has no valid offset")
	}
	return *r.Offset, nil
}

type boundsResponse struct {
	First *int64 `json:"first"`
	Next  *int64 `json:"next"`
}

func (r boundsResponse) bounds() (Bounds, error) {
	if r.First == nil || r.Next == nil || *r.First < 0 || *r.Next < *r.First {
		return Bounds{}, malformed("bounds are missing or invalid")
	}
	return Bounds{First: *r.First, Next: *r.Next}, nil
}

type responseRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

type readResponse struct {
	boundsResponse
	Records []responseRecord `json:"records"`
}

// batch returns the records after checking that their offsets are consecutive,
// start at from and lie below the next offset.
func (r readResponse) batch(from int64) (Batch, error) {
	bounds, err := r.bounds()
	if err != nil {
		return Batch{}, err
	}
	batch := Batch{Bounds: bounds}
	for i, record := range r.Records {
		want := from + int64(i)
		if record.Offset != want || want >= bounds.Next {
			return Batch{}, malformed(fmt.Sprintf("response has a record at offset %d where %d was expected", record.Offset, want))
		}
		batch.Records = append(batch.Records, Record{
			Offset: record.Offset,
			Time:   time.UnixMilli(record.TimeMS),
			Data:   record.Data,
		})
	}
	return batch, nil
}

// trimmedError carries the bounds of a 410 response.
type trimmedError struct{ bounds Bounds }

func (e *trimmedError) Error() string {
	return fmt.Sprintf("stream has offsets %d up to, but not including, %d", e.bounds.First, e.bounds.Next)
}

func (e *trimmedError) toErrTrimmed(stream string, from int64) error {
	return ErrTrimmed.New("offset %d of stream %s is past the log's retention, the oldest retained offset is %d: start from a checkpoint",
		from, stream, e.bounds.First)
}

// responseError returns the error for a response with a status other than 200.
func responseError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusGone:
		var body boundsResponse
		if err := decodeResponse(response.Body, &body); err != nil {
			return err
		}
		bounds, err := body.bounds()
		if err != nil {
			return err
		}
		return &trimmedError{bounds}
	case http.StatusPreconditionFailed:
		return ErrConditionFailed.New("the stream has records that were not read: read them and decide again")
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge.New("record is over the platform's size limit: split the ticket")
	}
	return ErrUnavailable.New("platform log responded with status %d %q: try again later", response.StatusCode, errorText(response.Body))
}

func errorText(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorTextBytes))
	return strings.TrimSpace(string(text))
}

// decodeResponse decodes one JSON value of at most maxResponseBytes. Errors of
// reading the body are returned unchanged.
func decodeResponse(body io.Reader, result any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxResponseBytes {
		return malformed(fmt.Sprintf("the body is over %d bytes", maxResponseBytes))
	}
	if err := json.Unmarshal(data, result); err != nil {
		return malformed(err.Error())
	}
	return nil
}

func malformed(detail string) error {
	return ErrUnavailable.New("not a response of the platform log: %s: check platform.url in the settings", detail)
}
