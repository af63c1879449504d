package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/standin/fleet"
)

func TestSubcommands(t *testing.T) {
	paths, err := fleet.Build(context.Background(), t.TempDir(), "standin")
	is.New(t).NoErr(err)
	cases := map[string]struct {
		args    []string
		control func(ready) string // returns a URL that responds while the subcommand runs; nil if it is to fail
	}{
		"platform": {
			[]string{"platform", "-retain-records", "10"},
			func(line ready) string { return line.Address + "/streams/tickets" },
		},
		"target": {
			[]string{"target", "-service", "rider-view"},
			func(line ready) string { return line.Address + "/ledger" },
		},
		"relay": {
			[]string{"relay", "-to", "127.0.0.1:1"},
			func(line ready) string { return line.Control + "/stats" },
		},
		"target without a service":    {[]string{"target"}, nil},
		"invalid reporting":           {[]string{"target", "-service", "a", "-reporting", "wild"}, nil},
		"relay without a destination": {[]string{"relay"}, nil},
		"address of another host":     {[]string{"platform", "-address", "192.0.2.1:1"}, nil},
		"unknown flag":                {[]string{"platform", "-colour", "red"}, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			command := exec.Command(paths[0], tc.args...)
			output, err := command.StdoutPipe()
			is.NoErr(err)
			is.NoErr(command.Start())
			t.Cleanup(func() { command.Process.Kill() })
			text, _ := bufio.NewReader(output).ReadString('\n')
			if tc.control == nil {
				is.Equal(text, "")
				is.True(command.Wait() != nil) // exit code other than 0
				return
			}
			var line ready
			is.NoErr(json.NewDecoder(strings.NewReader(text)).Decode(&line))
			is.True(line.Ready)
			response, err := http.Get("http://" + tc.control(line))
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK)
			http.DefaultClient.CloseIdleConnections()
			is.NoErr(command.Process.Signal(syscall.SIGTERM))
			is.NoErr(command.Wait()) // exit code 0
		})
	}
}
