package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"jasminegate/internal/standin/platform"
	"jasminegate/internal/transport/platformlog"
)

// logRequestTimeout limits one request of Platform.Log.
const logRequestTimeout = 5 * time.Second

// Platform is the simulated platform of a fleet.
type Platform struct {
	// Process is the platform's process. Its records are lost when it exits.
	Process *Process
	// Log is a client of the log that connects without a relay.
	Log platformlog.Log

	address string
	http    *http.Client
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	plan := f.plan.Platform
	address := f.network.platform()
	process, err := f.launch(command{
		name: "platform",
		path: f.plan.Standin,
		args: []string{
			"platform",
			"-address", address,
			"-retain-records", strconv.Itoa(plan.RetainRecords),
			"-retain-for", plan.RetainFor.String(),
			"-appends-per-second", strconv.FormatFloat(plan.AppendsPerSecond, 'f', -1, 64),
		},
		printsReadyLine: true,
	})
	if err != nil {
		return err
	}
	f.Platform = &Platform{
		Process: process,
		Log:     platformlog.New("http://"+address, logRequestTimeout, f.http),
		address: address,
		http:    f.http,
	}
	return process.awaitReady(ctx)
}

// URL returns the base URL of the log, without a relay.
func (p *Platform) URL() string { return "http://" + p.address }

// SetMode replaces the platform's fault mode.
func (p *Platform) SetMode(ctx context.Context, mode platform.Mode) error {
	body, err := json.Marshal(mode)
	if err != nil {
		return err
	}
	_, err = send(ctx, p.http, http.MethodPost, p.URL()+"/mode", body)
	return err
}

// Stats returns the platform's counters.
func (p *Platform) Stats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	err := get(ctx, p.http, p.URL()+"/stats", &stats)
	return stats, err
}
