package state

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestViolationsListsEachViolationOnce(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	cases := map[string]struct {
		change func(*Ticket)
		want   []string // paths of the invalid values
	}{
		"none":                        {func(*Ticket) {}, nil},
		"number":                      {func(t *Ticket) { t.Number = 0 }, []string{"number"}},
		"no changes":                  {func(t *Ticket) { t.Services, t.Routes = nil, nil }, []string{""}},
		"author":                      {func(t *Ticket) { t.Author = long }, []string{"author"}},
		"empty service":               {func(t *Ticket) { t.Services[0] = Service{QueueLength: -1, QueueTimeout: -1} }, []string{"services[0].name", "services[0].slots", "services[0].connections", "services[0].queue_length", "services[0].queue_timeout"}},
		"empty route":                 {func(t *Ticket) { t.Routes[0] = Route{} }, []string{"routes[0].name", "routes[0].path_prefix", "routes[0].service", "routes[0].class", "routes[0].timeout", "routes[0].max_attempts"}},
		"name with a separator":       {func(t *Ticket) { t.Services[0].Name = "a\x00b" }, []string{"services[0].name"}},
		"name with a line break":      {func(t *Ticket) { t.Services[0].Name = "a\nb" }, []string{"services[0].name"}},
		"name that ends with a space": {func(t *Ticket) { t.Services[0].Name = "a " }, []string{"services[0].name"}},
		"name that is not UTF-8":      {func(t *Ticket) { t.Services[0].Name = "a\xffb" }, []string{"services[0].name"}},
		"long name":                   {func(t *Ticket) { t.RemoveRoutes = []string{long} }, []string{"remove_routes[0]"}},
		"given and removed":           {func(t *Ticket) { t.RemoveServices = []string{"rider-view"} }, []string{"remove_services[0]"}},
		"removed twice":               {func(t *Ticket) { t.RemoveRoutes = []string{"a", "a"} }, []string{"remove_routes[1]"}},
		"host with port":              {func(t *Ticket) { t.Routes[0].Host = "riders.example:80" }, []string{"routes[0].host"}},
		"host in capitals":            {func(t *Ticket) { t.Routes[0].Host = "Riders.example" }, []string{"routes[0].host"}},
		"path with query":             {func(t *Ticket) { t.Routes[0].PathPrefix = "/riders?a" }, []string{"routes[0].path_prefix"}},
		"path with line break":        {func(t *Ticket) { t.Routes[0].PathPrefix = "/riders\n" }, []string{"routes[0].path_prefix"}},
		"long path":                   {func(t *Ticket) { t.Routes[0].PathPrefix = "/" + strings.Repeat("a", MaxPathBytes) }, []string{"routes[0].path_prefix"}},
		"method in lower case":        {func(t *Ticket) { t.Routes[0].Methods = []string{"get"} }, []string{"routes[0].methods"}},
		"method twice":                {func(t *Ticket) { t.Routes[0].Methods = []string{"GET", "GET"} }, []string{"routes[0].methods"}},
		"timeout too long":            {func(t *Ticket) { t.Routes[0].Timeout = Duration(time.Hour) }, []string{"routes[0].timeout"}},
		"too many attempts":           {func(t *Ticket) { t.Routes[0].MaxAttempts = MaxRouteAttempts + 1 }, []string{"routes[0].max_attempts"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ticket := validTicket()
			tc.change(&ticket)
			var paths []string
			for _, violation := range ticket.Violations() {
				paths = append(paths, violation.Path)
				is.True(violation.Text != "" && violation.Remedy != "")
			}
			is.Equal(paths, tc.want)
			is.Equal(ticket.Validate() != nil, len(tc.want) > 0)
		})
	}
}

func TestDecodeTicketRejectsTrailingData(t *testing.T) {
	for _, rest := range []string{"}", "]", "{}", "null", "x"} {
		is := is.New(t)
		_, err := DecodeTicket([]byte(`{"number":1,"remove_routes":["a"]}` + rest))
		is.True(err != nil)
	}
}

// FuzzDecodeTicket checks that every ticket that DecodeTicket accepts can be
// encoded and decoded again, within the limits, and that its second encoding
// equals the first.
func FuzzDecodeTicket(f *testing.F) {
	valid, err := validTicket().Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{string(valid), "", "null", "[]", `{"number":-1}`, `{"NUMBER":1,"remove_routes":["a"]}`, `{"number":1,"remove_routes":["\u0000"]}`, `{"number":1,"remove_routes":["a"]}}`, "\xff", `{"number":1e400}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := DecodeTicket(data)
		if err != nil {
			return
		}
		encoded, err := ticket.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeTicket(encoded)
		if err != nil {
			t.Fatalf("%s does not decode again: %v", encoded, err)
		}
		twice, err := again.Encode()
		if err != nil || string(twice) != string(encoded) {
			t.Fatalf("%s became %s: %v", encoded, twice, err)
		}
	})
}
