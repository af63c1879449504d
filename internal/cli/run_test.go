package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
)

const ticketText = "number: 7\nremove_routes: [stock]\n"

const settingsText = `node:
  id: kitchen-1
  domain: casa-port
  callers_address: 10.1.0.1:8080
  admin_address: 10.1.0.1:8081
  control_address: 10.1.0.1:8082
  calls_address: 10.1.0.1:8083
platform: {url: "http://10.0.0.5:7000"}
`

// fakeNode serves the admin requests of a node that accepts any ticket for
// publication and reports the given state for ticket 7. It returns the node's URL.
func fakeNode(t *testing.T, ticketState adminapi.TicketState) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tickets", func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		ticket, err := state.DecodeTicket(data)
		if err != nil {
			problem.Write(w, problem.Problem{Status: 400, Outcome: problem.Rejected, Detail: err.Error(), Remedy: "mend it"})
			return
		}
		hash, _ := ticket.ContentHash()
		_ = json.NewEncoder(w).Encode(adminapi.PublishResponse{Number: ticket.Number, Content: adminapi.FormatHash(hash), Offset: 12})
	})
	mux.HandleFunc("GET /tickets/7", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(adminapi.TicketStatus{
			Number: 7, State: ticketState, Reason: "why", Position: 13,
			Domains: []adminapi.DomainProgress{{Domain: "casa-port", Members: 2, LeastPosition: 12, Laggards: []string{"n1"}}},
		})
	})
	mux.HandleFunc("GET /tickets", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(adminapi.VerdictList{Verdicts: []adminapi.Verdict{{Number: 7, Outcome: "stale", Reason: "why"}}})
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(adminapi.Status{Node: "n1", Domain: "casa-port", State: adminapi.NodeServing, Members: []adminapi.Member{{ID: "n2", State: "alive"}}})
	})
	rollouts := adminapi.RolloutList{Enabled: true, Rollouts: []adminapi.Rollout{{
		Service: "depot", Order: 5, Version: "v2", Phase: "canary", Coordinator: "n2", Versions: []adminapi.RolloutVersion{{Version: "v2", Targets: 3, Use: adminapi.VersionHeld}},
	}}}
	mux.HandleFunc("GET /rollouts", func(w http.ResponseWriter, r *http.Request) { _ = json.NewEncoder(w).Encode(rollouts) })
	mux.HandleFunc("DELETE /rollouts/depot", func(w http.ResponseWriter, r *http.Request) {
		rollouts.Rollouts[0].Phase = "rolled_back"
		_ = json.NewEncoder(w).Encode(rollouts)
	})
	mux.HandleFunc("GET /tenants", func(w http.ResponseWriter, r *http.Request) {
		list := adminapi.TenantList{Version: "3@00", Coordinator: "n4", Tenants: []adminapi.Tenant{{
			Name: "nord", Keys: 2, Priority: 1, RatePerS: 632.5, NodeRequests: 12, NodeRefused: 3,
			Fleet: &adminapi.TenantFleetUsage{Level: -4.5, DemandPerS: 700, DomainShare: 316.5, Over: true},
		}}}
		switch r.URL.Query().Get(adminapi.QueryName) {
		case "nord":
			list.Tenants[0].KeyDigests = []string{"00ff"}
		case "sud":
			problem.Write(w, problem.Problem{Status: 404, Outcome: problem.NotFound, Detail: "no tenant", Remedy: "list them"})
			return
		}
		_ = json.NewEncoder(w).Encode(list)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	ticket := file("ticket.yaml", ticketText)
	badTicket := file("bad-ticket.yaml", "number: 7\nremove_routs: [stock]\n")
	settings := file("node.yaml", settingsText)
	badSettings := file("bad-node.yaml", settingsText+"spread: {readers: 0}\n")
	none := filepath.Join(dir, "none.yaml")
	cases := map[string]struct {
		state  adminapi.TicketState
		args   string
		code   ExitCode
		out    string
		errOut string
	}{
		"no command":            {args: "", code: ExitUsage, errOut: "SUBCOMMANDS"},
		"unknown command":       {args: "ticket pub", code: ExitUsage, errOut: `unknown command "pub"`},
		"unknown flag":          {args: "status --nod x", code: ExitUsage, errOut: "not defined: -nod"},
		"unknown flag later":    {args: "ticket check " + ticket + " --nod x", code: ExitUsage, errOut: "not defined: -nod"},
		"help":                  {args: "ticket publish -h", code: ExitOK, errOut: "EXAMPLES"},
		"help after a file":     {args: "ticket publish x -h", code: ExitOK, errOut: "EXAMPLES"},
		"missing argument":      {args: "ticket check", code: ExitUsage, errOut: "0 arguments given instead of 1"},
		"bad format":            {args: "version -o xml", code: ExitUsage, errOut: "use table or json"},
		"version":               {args: "version", code: ExitOK, out: "jasminegate "},
		"ticket valid":          {args: "ticket check " + ticket, code: ExitOK, out: "ticket.yaml: valid\n"},
		"ticket invalid":        {args: "ticket check " + badTicket, code: ExitRejected, out: "bad-ticket.yaml:2: remove_routs: unknown key"},
		"ticket invalid, JSON":  {args: "ticket check -o json " + badTicket, code: ExitRejected, out: `"line": 2`},
		"ticket unreadable":     {args: "ticket check " + none, code: ExitUsage, errOut: "none.yaml"},
		"settings valid":        {args: "config check " + settings, code: ExitOK, out: "node.yaml: valid\n"},
		"settings invalid":      {args: "config check " + badSettings, code: ExitRejected, out: "spread.readers: 0 is out of range"},
		"settings overridden":   {args: "config check " + badSettings + " --spread.readers 2", code: ExitOK, out: "bad-node.yaml: valid\n"},
		"node without settings": {args: "node", code: ExitUsage, errOut: "--config FILE"},
		"node invalid settings": {args: "node --config " + badSettings, code: ExitRejected, out: `"event":105`, errOut: "logged on standard output"},
		"no node given":         {args: "status", code: ExitUsage, errOut: "--node IP:PORT"},
		"bad timeout":           {args: "status --node NODE --timeout 0s", code: ExitUsage, errOut: "--timeout"},
		"status":                {args: "status --node NODE", code: ExitOK, out: "casa-port"},
		"status in JSON":        {args: "status --node NODE -o json", code: ExitOK, out: `"state": "serving"`},
		"rollouts":              {args: "rollout list --node NODE", code: ExitOK, out: "canary"},
		"rollout":               {args: "rollout show depot --node NODE", code: ExitOK, out: "coordinator: n2"},
		"no such rollout":       {args: "rollout show other --node NODE", code: ExitFailed, errOut: "rollout list"},
		"rollout abort":         {args: "rollout abort depot --node NODE", code: ExitOK, out: "rolled_back"},
		"list":                  {args: "ticket list --node NODE", code: ExitOK, out: "stale"},
		"unreachable":           {args: "status --node 127.0.0.1:1", code: ExitUnreachable, errOut: "try another node"},
		"publish":               {args: "ticket publish " + ticket + " --node NODE", code: ExitOK, out: "offset 12"},
		"publish unreachable":   {args: "ticket publish " + ticket + " --node 127.0.0.1:1 --timeout 50ms", code: ExitUnreachable, errOut: "may or may not be published"},
		"publish invalid":       {args: "ticket publish " + badTicket + " --node NODE", code: ExitRejected, errOut: "unknown key"},
		"publish, in force":     {state: "in_force", args: "ticket publish " + ticket + " --node NODE --wait", code: ExitOK, out: "in_force"},
		"publish, rejected":     {state: "rejected", args: "ticket publish " + ticket + " --node NODE --wait", code: ExitRejected, errOut: "is rejected: why"},
		"publish, not in time":  {state: "unconfirmed", args: "ticket publish " + ticket + " --node NODE --wait --timeout 300ms", code: ExitNotInForce, errOut: "is unconfirmed"},
		"read back, accepted":   {state: "accepted", args: "ticket status 7 --node NODE -o json", code: ExitNotInForce, out: `"laggards"`},
		"read back, in force":   {state: "in_force", args: "ticket status 7 --node NODE --content 00", code: ExitOK, out: "in_force"},
		"tenants":               {args: "tenants list --node NODE", code: ExitOK, out: "nord    2     1         632.5       -"},
		"tenants, use":          {args: "tenants list --node NODE", code: ExitOK, out: "12        3        700.0     -4.5  316.5  over"},
		"tenants, versions":     {args: "tenants list --node NODE", code: ExitOK, out: "tenants: 1, configuration 3@00, coordinator: n4"},
		"tenants, use in JSON":  {args: "tenants list --node NODE -o json", code: ExitOK, out: `"domain_share": 316.5`},
		"tenant, use":           {args: "tenants show nord --node NODE", code: ExitOK, out: "700.0     -4.5  316.5  over"},
		"tenants in JSON":       {args: "tenants list --node NODE -o json", code: ExitOK, out: `"rate_per_s": 632.5`},
		"tenant":                {args: "tenants show nord --node NODE", code: ExitOK, out: "key digest: 00ff"},
		"tenant unknown":        {args: "tenants show sud --node NODE", code: ExitFailed, errOut: "no tenant"},
		"not a number":          {args: "ticket status seven --node NODE", code: ExitUsage, errOut: "not a ticket number"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args := strings.Fields(strings.ReplaceAll(tc.args, "NODE", fakeNode(t, tc.state)))
			var out, errOut bytes.Buffer
			code := Run(context.Background(), args, Streams{Out: &out, Err: &errOut}, nil)
			t.Logf("out: %s\nerr: %s", &out, &errOut)
			is.Equal(code, tc.code)
			is.True(strings.Contains(out.String(), tc.out))
			is.True(strings.Contains(errOut.String(), tc.errOut))
			if strings.Contains(tc.args, "json") {
				is.True(json.Valid(out.Bytes())) // standard output is only JSON
			}
		})
	}
}

func TestEnvironmentNamesTheNode(t *testing.T) {
	is := is.New(t)
	t.Setenv("JASMINEGATE_NODE", fakeNode(t, ""))
	var out, errOut bytes.Buffer
	is.Equal(Run(context.Background(), []string{"status"}, Streams{Out: &out, Err: &errOut}, nil), ExitOK)
	is.Equal(Run(context.Background(), []string{"status", "--node", "127.0.0.1:1"}, Streams{Out: &out, Err: &errOut}, nil), ExitUnreachable)
}

func TestProgressIsForTerminalsOnly(t *testing.T) {
	for _, terminal := range []bool{false, true} {
		is := is.New(t)
		path := filepath.Join(t.TempDir(), "ticket.yaml")
		is.NoErr(os.WriteFile(path, []byte(ticketText), 0o600))
		var out, errOut bytes.Buffer
		args := []string{"ticket", "publish", path, "--wait", "--node", fakeNode(t, adminapi.TicketInForce)}
		is.Equal(Run(context.Background(), args, Streams{Out: &out, Err: &errOut, ErrIsTerminal: terminal}, nil), ExitOK)
		is.Equal(strings.Contains(errOut.String(), "waiting for casa-port"), terminal)
	}
}

// TestExitCodesAreDocumented checks that docs/operators/exit-codes.md and the help
// list each exit code.
func TestExitCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators/exit-codes.md")
	is.NoErr(err)
	for code := ExitOK; code <= ExitUnreachable; code++ {
		is.True(strings.Contains(string(page), fmt.Sprintf("| %d |", code)))
		is.True(strings.Contains(exitCodeHelp, fmt.Sprintf("  %d  ", code)))
	}
}
