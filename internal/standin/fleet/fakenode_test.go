package fleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"gopkg.in/yaml.v3"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

const (
	// fakeNodeVariable makes the test program run as a node.
	fakeNodeVariable = "FLEET_TEST_FAKE_NODE"
	// exchangeTimeout bounds what a fake node waits for another one.
	exchangeTimeout = 300 * time.Millisecond
	platformTimeout = 2 * time.Second
)

// fakeSettings are the keys that a fake node reads.
type fakeSettings struct {
	Node struct {
		ID             string `yaml:"id"`
		AdminAddress   string `yaml:"admin_address"`
		ControlAddress string `yaml:"control_address"`
	} `yaml:"node"`
	Platform struct {
		URL string `yaml:"url"`
	} `yaml:"platform"`
}

// fakeNode takes the place of the node program: it serves just enough of the
// admin API for the fleet, and exchanges a line with another node on request.
type fakeNode struct {
	log    platformlog.Log
	dial   func(ctx context.Context, address string) (net.Conn, error)
	target atomic.Pointer[adminapi.Announcement] // nil while none is announced
}

// runFakeNode runs until SIGTERM. Its arguments are: node --config FILE.
func runFakeNode() error {
	data, err := os.ReadFile(os.Args[3])
	if err != nil {
		return err
	}
	var settings fakeSettings
	if err := yaml.Unmarshal(data, &settings); err != nil {
		return err
	}
	control, err := net.Listen("tcp", settings.Node.ControlAddress)
	if err != nil {
		return err
	}
	go echo(control)
	n := &fakeNode{
		log:  platformlog.New(settings.Platform.URL, platformTimeout, &http.Client{Transport: &http.Transport{}}),
		dial: peer.DialFrom(settings.Node.ControlAddress),
	}
	admin := &http.Server{Addr: settings.Node.AdminAddress, Handler: n.routes()}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- admin.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return admin.Close()
	}
}

func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			io.Copy(conn, conn)
		}()
	}
}

func (n *fakeNode) routes() *http.ServeMux {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /readyz", n.handleReady)
	routes.HandleFunc("GET /status", n.handleStatus)
	routes.HandleFunc("PUT /target", n.handleTarget)
	routes.HandleFunc("DELETE /target", n.handleTarget)
	routes.HandleFunc("POST /tickets", n.handlePublish)
	routes.HandleFunc("GET /tickets/{number}", n.handleReadBack)
	routes.HandleFunc("GET /exchange", n.handleExchange)
	return routes
}

func (n *fakeNode) handleReady(w http.ResponseWriter, r *http.Request) {
	if _, err := n.log.Bounds(r.Context(), platformlog.StreamTickets); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (n *fakeNode) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var status adminapi.Status
	if announced := n.target.Load(); announced != nil {
		status.Members = []adminapi.Member{{Service: announced.Service, Target: string(announced.State)}}
	}
	json.NewEncoder(w).Encode(status)
}

func (n *fakeNode) handleTarget(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		n.target.Store(nil)
		return
	}
	var announced adminapi.Announcement
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announced); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.target.Store(&announced)
}

func (n *fakeNode) handlePublish(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	offset, err := n.log.Append(r.Context(), platformlog.StreamTickets, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(w).Encode(adminapi.PublishResponse{Number: 1, Offset: offset})
}

func (n *fakeNode) handleReadBack(w http.ResponseWriter, r *http.Request) {
	status := adminapi.TicketStatus{Number: 1, State: adminapi.TicketUnknown}
	bounds, err := n.log.Bounds(r.Context(), platformlog.StreamTickets)
	if err == nil && bounds.Next > 0 {
		status.State = adminapi.TicketInForce
	}
	json.NewEncoder(w).Encode(status)
}

// handleExchange sends a line to another node and answers 504 if none comes back.
func (n *fakeNode) handleExchange(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), exchangeTimeout)
	defer cancel()
	conn, err := n.dial(ctx, r.URL.Query().Get("with"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	io.WriteString(conn, "hello\n")
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}
