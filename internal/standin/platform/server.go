package platform

import (
	"net"
	"net/http"
)

// Server is a simulated platform that listens on a TCP address.
type Server struct {
	*Platform
	listener net.Listener
	http     *http.Server
}

// Start serves a new simulated platform on address, for example "127.0.0.1:0".
// It fails if it can't listen there.
func Start(address string, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	platform := New(options)
	server := &Server{
		Platform: platform,
		listener: listener,
		http:     &http.Server{Handler: platform},
	}
	go server.http.Serve(listener)
	return server, nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL for a client.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close closes the listener and every connection.
func (s *Server) Close() error { return s.http.Close() }
