package state

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func validTicket() Ticket {
	return Ticket{
		Number: 1,
		Services: []Service{{
			Name: "rider-view", Slots: 6, Connections: 120, QueueLength: 12, QueueTimeout: Duration(time.Second),
		}},
		Routes: []Route{{
			Name: "riders", PathPrefix: "/riders", Service: "rider-view", Class: ClassInteractive,
			Timeout: Duration(2 * time.Second), Idempotent: true, MaxAttempts: 3,
		}},
	}
}

func TestDecodeTicket(t *testing.T) {
	cases := map[string]struct {
		change func(*Ticket)
		data   []byte
		fails  *errorx.Type
	}{
		"valid":               {},
		"no number":           {change: func(t *Ticket) { t.Number = 0 }, fails: ErrInvalid},
		"no slots":            {change: func(t *Ticket) { t.Services[0].Slots = 0 }, fails: ErrInvalid},
		"changed and removed": {change: func(t *Ticket) { t.RemoveRoutes = []string{"riders"} }, fails: ErrInvalid},
		"unknown class":       {change: func(t *Ticket) { t.Routes[0].Class = "later" }, fails: ErrInvalid},
		"changes nothing":     {change: func(t *Ticket) { t.Services, t.Routes = nil, nil }, fails: ErrInvalid},
		"no timeout":          {change: func(t *Ticket) { t.Routes[0].Timeout = 0 }, fails: ErrInvalid},
		"not JSON":            {data: []byte("GET / HTTP/1.1"), fails: ErrUndecodable},
		"unknown key":         {data: []byte(`{"number":1,"sevices":[]}`), fails: ErrUndecodable},
		"oversized":           {data: make([]byte, MaxTicketBytes+1), fails: ErrInvalid},
		"two in one record":   {data: []byte(`{"number":1,"remove_routes":["a"]}{}`), fails: ErrUndecodable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ticket := validTicket()
			if tc.change != nil {
				tc.change(&ticket)
			}
			data := tc.data
			if data == nil {
				var err error
				data, err = ticket.Encode()
				is.NoErr(err)
			}
			_, err := DecodeTicket(data)
			if tc.fails == nil {
				is.NoErr(err)
				return
			}
			is.True(errorx.IsOfType(err, tc.fails)) // the error's type
		})
	}
}

func TestSnapshotRejectsDanglingRoute(t *testing.T) {
	is := is.New(t)
	changes, err := validTicket().Changes()
	is.NoErr(err)
	snapshot, err := Empty().With(1, changes)
	is.NoErr(err)
	_, err = snapshot.With(2, []Resource{{Key: Key{KindService, "rider-view"}, Removed: true}})
	is.True(errorx.IsOfType(err, ErrDangling))
}
