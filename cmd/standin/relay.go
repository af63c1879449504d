package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/standin/relay"
)

func relayCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin relay", flag.ExitOnError)
	address := flags.String("address", "127.0.0.1:0", "address to listen on")
	destination := flags.String("to", "", "address to forward to")
	control := flags.String("control", "127.0.0.1:0", "address of the HTTP control API, printed as control")
	return &ffcli.Command{
		Name:       "relay",
		ShortUsage: "standin relay -to ADDRESS [flags]",
		ShortHelp:  "simulate a network path: a TCP proxy that can reset, blackhole or delay connections",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runRelay(ctx, *address, *destination, *control)
		},
	}
}

func runRelay(ctx context.Context, address, destination, control string) error {
	if destination == "" {
		return errors.New("relay: the flag -to is required")
	}
	r, err := relay.Start(address, destination, relay.Options{})
	if err != nil {
		return err
	}
	defer r.Close()
	listener, err := net.Listen("tcp", control)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r.Handler()}
	go server.Serve(listener)
	defer server.Close()
	if err := printReady(ready{Address: r.Address(), Control: listener.Addr().String()}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
