package platformlog

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type appendAnswer struct {
	Offset *int64 `json:"offset"`
}

func (a appendAnswer) offset() (int64, error) {
	if a.Offset == nil || *a.Offset < 0 {
		return 0, malformed("append response has no valid offset")
	}
	return *a.Offset, nil
}

type boundsAnswer struct {
	First *int64 `json:"first"`
	Next  *int64 `json:"next"`
}

func (a boundsAnswer) bounds() (Bounds, error) {
	if a.First == nil || a.Next == nil || *a.First < 0 || *a.Next < *a.First {
		return Bounds{}, malformed("bounds are missing or invalid")
	}
	return Bounds{First: *a.First, Next: *a.Next}, nil
}

type recordAnswer struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

type readAnswer struct {
	boundsAnswer
	Records []recordAnswer `json:"records"`
}

// batch returns the records after checking that their offsets are consecutive,
// start at from and lie below the next offset.
func (a readAnswer) batch(from int64) (Batch, error) {
	bounds, err := a.bounds()
	if err != nil {
		return Batch{}, err
	}
	batch := Batch{Bounds: bounds}
	for i, record := range a.Records {
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

func (e *trimmedError) typed(stream string, from int64) error {
	return ErrTrimmed.New("offset %d of stream %s is past the log's retention, the oldest retained offset is %d: start from a checkpoint",
		from, stream, e.bounds.First)
}

// refusal returns the error for a response with a status other than 200.
func refusal(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusGone:
		var answer boundsAnswer
		if err := decodeAnswer(response.Body, &answer); err != nil {
			return err
		}
		bounds, err := answer.bounds()
		if err != nil {
			return err
		}
		return &trimmedError{bounds}
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge.New("record is over the platform's size limit: split the ticket")
	}
	return ErrUnavailable.New("platform log responded with status %d %q: try again later", response.StatusCode, problem(response.Body))
}

func problem(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	return strings.TrimSpace(string(text))
}

// decodeAnswer decodes one JSON value of at most maxAnswerBytes. Errors of
// reading body are returned unchanged.
func decodeAnswer(body io.Reader, answer any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxAnswerBytes {
		return malformed(fmt.Sprintf("the body is over %d bytes", maxAnswerBytes))
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return malformed(err.Error())
	}
	return nil
}

func malformed(what string) error {
	return ErrUnavailable.New("not a response of the platform log: %s: check platform.url in the settings", what)
}
