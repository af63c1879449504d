package calls

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/state"
)

const testKey = "key-of-nord-12345"

// publishTenants adds tenants and the route open, which needs no key, to the snapshot
// in force. Publishing none removes all tenants.
func (f *fleet) publishTenants(tenants ...state.Tenant) {
	open := state.Route{Name: "open", PathPrefix: "/open", Service: "depot", Class: state.ClassInteractive, Timeout: state.Duration(testTimeout), Idempotent: true, MaxAttempts: 3, NoAuth: true}
	ticket := state.Ticket{Number: 2, Routes: []state.Route{open}}
	current := f.snapshot.Load()
	for _, tenant := range current.Tenants() {
		ticket.RemoveTenants = append(ticket.RemoveTenants, tenant.Name)
	}
	changes, err := ticket.Changes()
	f.is.NoErr(err)
	for _, tenant := range tenants {
		added, err := state.Ticket{Tenants: []state.Tenant{tenant.DigestKeys()}}.Changes()
		f.is.NoErr(err)
		changes = append(changes, added...)
	}
	next, err := current.With(current.Version().Position+1, changes)
	f.is.NoErr(err)
	f.snapshot.Store(next)
}

func nord() state.Tenant { return state.Tenant{Name: "nord", Keys: []state.APIKey{testKey}} }

func ownContract() headers.Contract { return headers.DefaultContract() }

// platformContract is like that of a platform whose request IDs show nesting.
func platformContract() headers.Contract {
	return headers.Contract{RequestID: "X-Id", NestedSeparator: ".", Tenant: "X-Tenant", Credentials: headers.Credentials, NotRun: "X-Not-Run"}
}

// TestKeysAtAdmission guards against requests that reach a target without a known key,
// with the key still in their headers, or under a tenant that the caller made up.
func TestKeysAtAdmission(t *testing.T) {
	token := func(key string) string { return "Token " + key }
	cases := map[string]struct {
		path              string
		authorization     string // several values are separated by a comma
		withoutTenants    bool
		status            int
		tenant, forwarded string // as the target gets them
	}{
		"known key":                {"/read", token(testKey), false, 200, "nord", ""},
		"scheme in another case":   {"/read", "tOKEN  " + testKey, false, 200, "nord", ""},
		"no key":                   {"/read", "", false, 401, "", ""},
		"unknown key":              {"/read", token("other"), false, 401, "", ""},
		"scheme alone":             {"/read", "Token", false, 401, "", ""},
		"key of another scheme":    {"/read", "Bearer " + testKey, false, 401, "", ""},
		"key in another case":      {"/read", token(strings.ToUpper(testKey)), false, 401, "", ""},
		"open route":               {"/open", "", false, 200, "", ""},
		"open route, known key":    {"/open", token(testKey), false, 200, "nord", ""},
		"open route, unknown key":  {"/open", token("other"), false, 401, "", ""},
		"open route, scheme alone": {"/open", "Token", false, 200, "", ""},
		"open route, longer key":   {"/open", token(testKey + "x"), false, 401, "", ""},
		"open route, spaces":       {"/open", "tOKEN  other", false, 401, "", ""},
		"open route, known first":  {"/open", token(testKey) + "," + token("other"), false, 401, "", ""},
		"open route, known last":   {"/open", token("other") + "," + token(testKey), false, 401, "", ""},
		"known key first":          {"/read", token(testKey) + "," + token("other"), false, 401, "", ""},
		"known key last":           {"/read", token("other") + "," + token(testKey), false, 401, "", ""},
		"two known keys":           {"/read", token(testKey) + "," + token("sud"), false, 401, "", ""},
		"one known key twice":      {"/read", token(testKey) + "," + token(testKey), false, 200, "nord", ""},
		"known key, other scheme":  {"/read", "Basic YTpi," + token(testKey), false, 200, "nord", "Basic YTpi"},
		"open route, other scheme": {"/open", "Basic YTpi", false, 200, "", "Basic YTpi"},
		"no route":                 {"/none", "", false, 404, "", ""},
		"no tenants":               {"/read", token(testKey), true, 200, "", token(testKey)},
		"no tenants, no key":       {"/read", "", true, 200, "", ""},
	}
	for contractName, contract := range map[string]headers.Contract{"own": ownContract(), "platform": platformContract()} {
		for name, tc := range cases {
			t.Run(contractName+"/"+name, func(t *testing.T) {
				is := is.New(t)
				seen := make(chan http.Header, 1)
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, contract: contract}, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header })
				if !tc.withoutTenants {
					f.publishTenants(nord(), state.Tenant{Name: "sud", Keys: []state.APIKey{"sud"}})
				}
				header := []string{contract.Tenant, "made-up"}
				for value := range strings.SplitSeq(tc.authorization, ",") {
					if value != "" {
						header = append(header, "Authorization", value)
					}
				}
				got := f.call(0, "GET", tc.path, "", header...)
				is.Equal(got.status, tc.status)
				is.Equal(got.header.Get("WWW-Authenticate") != "", tc.status == 401)
				is.Equal(len(seen), map[bool]int{true: 1}[tc.status == 200])
				if tc.status == 200 {
					target := <-seen
					is.Equal(target.Get(contract.Tenant), tc.tenant)
					is.Equal(target.Get("Authorization"), tc.forwarded)
				}
			})
		}
	}
}

// TestNodeWithoutConfigurationJudgesNoKey guards against a 401 of a node that cannot
// know the keys.
func TestNodeWithoutConfigurationJudgesNoKey(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
	f.snapshot.Store(nil)
	f.is.Equal(f.call(0, "GET", "/read", "").status, http.StatusServiceUnavailable)
}

// TestTenantPriority guards against calls that keep their route's priority although
// their tenant has one, against urgent and other requests of a tenant that count as equal, and
// against idempotency keys that tenants share.
func TestTenantPriority(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
	urgent := nord()
	urgent.Priority = 7
	f.publishTenants(urgent, state.Tenant{Name: "sud", Keys: []state.APIKey{"sud"}})
	admit := func(path, key string) *callerRequest {
		request, err := http.NewRequest("GET", path, nil)
		f.is.NoErr(err)
		if key != "" {
			request.Header.Set("Authorization", "Token "+key)
		}
		request.Header.Set(headers.IdempotencyKey, "order-1")
		c, refused := f.nodes[0].runner.newCallerRequest(f.nodes[0].runner.currentRoutes(), f.nodes[0].runner.options.Now(), request)
		f.is.True(refused == nil)
		return c
	}
	f.is.Equal(admit("/read", testKey).priority, 7*(state.MaxPriority+1))
	lessUrgent := admit("/read", testKey)
	lessUrgent.route.Priority = state.MaxPriority
	least := lessUrgent.priorityOf(f.snapshot.Load())
	f.is.True(least > lessUrgent.priority)
	urgent.Priority = 8
	f.publishTenants(urgent, state.Tenant{Name: "sud", Keys: []state.APIKey{"sud"}})
	f.is.True(admit("/read", testKey).priority > least)
	f.is.Equal(admit("/open", "").priority, 0)
	f.is.True(admit("/read", testKey).key != admit("/read", "sud").key)
	f.is.Equal(admit("/open", "").key, "order-1")
}

// TestNodeThatIsBehindJudgesNoUnknownKey guards against a 401, which is final, for a key that a newer
// configuration may have, also between attempts.
func TestNodeThatIsBehindJudgesNoUnknownKey(t *testing.T) {
	is := is.New(t)
	var f *fleet
	var runs, behind atomic.Int64
	f = newFleet(t, fleetOptions{nodes: 2, contract: platformContract()}, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/read/retried" {
			f.publishTenants(state.Tenant{Name: "nord", Keys: []state.APIKey{"new"}})
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	f.nodes[0].runner.options.IsBehind = func() bool { return behind.Load() > 0 }
	f.publishTenants(nord())
	request := func(path string, keys ...string) callResult {
		var header []string
		for _, key := range keys {
			header = append(header, "Authorization", "Token "+key)
		}
		return f.call(0, "GET", path, "", header...)
	}
	for _, path := range []string{"/read", "/open"} {
		behind.Store(1)
		got := request(path, "new")
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(request(path, "new", "other").status, 401) // no configuration makes them one key
		is.Equal(runs.Load(), int64(0))
		behind.Store(0)
		is.Equal(request(path, "new").status, 401)
		is.Equal(runs.Load(), int64(0))
		behind.Store(1)
		is.Equal(request(path, testKey).status, 200)
		is.Equal(runs.Swap(0), int64(1))
	}
	is.Equal(request("/read").status, 401)
	is.Equal(request("/open").status, 200)
	is.Equal(runs.Swap(0), int64(1))
	is.Equal(request("/read/retried", testKey).status, 503)
	is.Equal(runs.Load(), int64(1))
	is.Equal(request("/open", "new").status, 200)
}

// TestNestedCallsNeedNoKey guards against nested calls that are refused, that lose their
// parent's tenant, or that are admitted when no such parent runs or with a key that is not known.
func TestNestedCallsNeedNoKey(t *testing.T) {
	for name, tc := range map[string]struct {
		contract headers.Contract
		parent   []string // headers of the parent
		header   string   // header by which the nested call names it
		id       func(r *http.Request) string
	}{
		"own":      {ownContract(), nil, headers.CallID, func(r *http.Request) string { return r.Header.Get(headers.CallID) }},
		"platform": {platformContract(), []string{"X-Id", "7a"}, "X-Id", func(*http.Request) string { return "7a.1" }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f *fleet
			var nested, stranger, unknownKey callResult
			var id, tenant string
			f = newFleet(t, fleetOptions{nodes: 1, contract: tc.contract}, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				if r.URL.Path == "/read/nested" {
					tenant = r.Header.Get(tc.contract.Tenant)
					return
				}
				id = tc.id(r)
				nested = f.call(0, "GET", "/read/nested", "", tc.header, id)
				stranger = f.call(0, "GET", "/read/nested", "", tc.header, id+".2.1")
				unknownKey = f.call(0, "GET", "/read/nested", "", tc.header, id, "Authorization", "Token other")
			})
			f.publishTenants(nord())
			is.Equal(f.call(0, "GET", "/read", "", append(tc.parent, "Authorization", "Token "+testKey)...).status, 200)
			is.Equal(nested.status, 200)
			is.Equal(tenant, "nord")
			is.Equal(stranger.status, 401)
			is.Equal(unknownKey.status, 401)
			f.waitFor("the parent has ended", func() bool { return f.call(0, "GET", "/read/nested", "", tc.header, id).status == 401 })
		})
	}
}

// TestKeyRemovedBetweenAttempts guards against a further attempt of a request whose key
// was removed after its first one, also on a route that needs no key.
func TestKeyRemovedBetweenAttempts(t *testing.T) {
	for _, path := range []string{"/read", "/open"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var f *fleet
			var runs atomic.Int64
			f = newFleet(t, fleetOptions{nodes: 2, contract: platformContract()}, func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				f.publishTenants(state.Tenant{Name: "nord", Keys: []state.APIKey{"new"}})
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			f.publishTenants(nord())
			is.Equal(f.call(0, "GET", path, "", "Authorization", "Token "+testKey).status, 401)
			is.Equal(runs.Load(), int64(1))
		})
	}
}

// TestTenantsAppearBetweenAttempts guards against a request that was admitted without
// tenants and is refused, or forwarded with its key, once there are some.
func TestTenantsAppearBetweenAttempts(t *testing.T) {
	is := is.New(t)
	var f *fleet
	seen := make(chan string, 3)
	f = newFleet(t, fleetOptions{nodes: 2, contract: platformContract()}, func(w http.ResponseWriter, r *http.Request) {
		if seen <- r.Header.Get("Authorization"); len(seen) == 1 {
			f.publishTenants(nord())
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	is.Equal(f.call(0, "GET", "/read", "", "Authorization", "Token "+testKey).status, 200)
	is.Equal(<-seen, "Token "+testKey)
	is.Equal(<-seen, "")
}

// TestKeptConnectionAfterRevocation guards against keys that stay valid on a connection
// on which they were once accepted, also for pipelined requests.
func TestKeptConnectionAfterRevocation(t *testing.T) {
	target := newPipelineTarget()
	target.finish("/read/1", "/read/2", "/read/3")
	f, caller := newPipeline(t, target.ServeHTTP)
	f.publishTenants(nord())
	authorized := "Authorization: Token " + testKey
	caller.send(get("/read/1", authorized), get("/read/x"), get("/read/2", authorized))
	for _, want := range []int{200, 401, 200} {
		f.is.Equal(caller.receive().status, want)
	}
	f.publishTenants(state.Tenant{Name: "nord", Keys: []state.APIKey{"new"}})
	caller.send(get("/read/3", authorized), get("/read/3", "Authorization: Token new"))
	for _, want := range []int{401, 200} {
		f.is.Equal(caller.receive().status, want)
	}
	f.is.Equal(len(target.running()), 3)
}

// TestStrictRevocation guards against a key that is accepted without contact, when it may
// have been removed, also between attempts; and against refusals of requests that need none.
func TestStrictRevocation(t *testing.T) {
	var currentAt atomic.Int64 // Unix nanoseconds
	runs := make(chan struct{}, 9)
	var log syncBuffer
	f := newFleet(t, fleetOptions{nodes: 2, contract: platformContract(), logger: logging.New(&log, "info", "n")}, func(w http.ResponseWriter, r *http.Request) {
		runs <- struct{}{}
		if r.URL.Path == "/read/retried" {
			currentAt.Store(0)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	f.publishTenants(nord())
	options := &f.nodes[0].runner.options
	options.Tenants = config.Tenants{RevokeBound: testTimeout, RevokeStrict: true}
	options.CurrentAt = func() time.Time { return time.Unix(0, currentAt.Load()) }
	status := func(path, key string) int { return f.call(0, "GET", path, "", "Authorization", "Token "+key).status }
	f.is.Equal(status("/read", testKey), 503)
	f.is.Equal(status("/read", "added-meanwhile"), 503)
	f.is.Equal(f.call(0, "GET", "/read", "").status, 401)
	f.is.Equal(len(runs), 0)
	f.is.Equal(status("/open", testKey), 200)
	<-runs
	f.is.Equal(status("/open", "added-meanwhile"), 200)
	<-runs
	currentAt.Store(time.Now().UnixNano())
	f.is.Equal(status("/read", testKey), 200)
	f.is.Equal(status("/read", "unknown"), 401)
	f.is.Equal(status("/open", "unknown"), 401)
	<-runs
	f.is.Equal(status("/read/retried", testKey), 503)
	f.is.Equal(len(runs), 1)
	f.is.Equal(strings.Count(log.String(), `"event":410`), 2) // once for each time without contact
	f.is.Equal(strings.Count(log.String(), `"event":411`), 1)
}

// tappedConn copies what is written to it.
type tappedConn struct {
	net.Conn
	tap io.Writer
}

func (c tappedConn) Write(data []byte) (int, error) {
	_, _ = c.tap.Write(data)
	return c.Conn.Write(data)
}

// TestNoKeyLeavesTheProcess guards against keys in messages between nodes, requests to
// targets, log lines, metrics and records of crashes.
func TestNoKeyLeavesTheProcess(t *testing.T) {
	is := is.New(t)
	var out syncBuffer
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return tappedConn{conn, &out}, err
	}
	var f *fleet
	f = newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dial, logger: logging.New(&out, "debug", "n")}, func(w http.ResponseWriter, r *http.Request) {
		_ = r.Header.Write(&out)
		if r.URL.Path == "/read/crash" {
			_ = f.nodes[1].target.Listener.Close()
			panic(http.ErrAbortHandler)
		}
	})
	f.publishTenants(nord())
	authorized := []string{"Authorization", "Token " + testKey}
	is.Equal(f.call(0, "GET", "/read", "", authorized...).status, 200)
	is.Equal(f.call(0, "GET", "/open", "", authorized...).status, 200)
	is.Equal(f.call(0, "GET", "/read", "", "Authorization", "Token x"+testKey).status, 401)
	is.Equal(f.call(0, "GET", "/read", "", "Authorization", "Bearer "+testKey).status, 401)
	is.True(f.call(0, "GET", "/read/crash", "", authorized...).status >= 500)
	for _, n := range f.nodes {
		n.runner.WriteMetrics(&out)
		records, _ := n.runner.QuarantineRecords()
		_, _ = fmt.Fprintf(&out, "%+v", records)
	}
	for _, shown := range []string{"Jasminegate-Tenant: nord", "unauthorized", "/read/crash", `"event":314`} {
		is.True(strings.Contains(out.String(), shown)) // what the test looks through is there
	}
	is.True(!strings.Contains(out.String(), testKey))
}

// TestRefusedBeforeBody guards against a refusal that waits for the body of a request
// without a known key, and against a rest of it that is taken for the next request.
func TestRefusedBeforeBody(t *testing.T) {
	f, caller := newPipeline(t, func(http.ResponseWriter, *http.Request) {})
	f.publishTenants(nord())
	const head = "POST /file/1 HTTP/1.1\r\nHost: a.example\r\n"
	body := get("/open")
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	caller.send(head + length)
	f.is.Equal(caller.receive().status, 401)
	caller.send(body, get("/read/2", "Authorization: Token "+testKey))
	f.is.Equal(caller.receive().status, 200)

	caller.send(head+"Expect: 100-continue\r\n"+length, body)
	f.is.Equal(caller.receive().status, 401)
	f.is.True(caller.receive().err != nil) // the connection is closed

	late := f.dialCaller()
	late.send(head + length)
	f.is.Equal(late.receive().status, 401)
	f.is.True(late.receive().err != nil) // closed after lingerTimeout
}
