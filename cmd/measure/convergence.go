package main

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"jasminegate/internal/logging"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/platform"
)

const (
	singleTickets  = 20
	singlePause    = 300 * time.Millisecond
	burstTickets   = 20
	outageDuration = 5 * time.Second
	settleTimeout  = 20 * time.Second
)

// measureConvergence measures the convergence time of each layout with single
// tickets, in a burst, while targets restart and after a platform outage, and
// that of the baseline with single tickets.
func measureConvergence(ctx context.Context, out *output) error {
	for _, l := range measuredLayouts {
		if err := measureLayoutConvergence(ctx, out, l); err != nil {
			return err
		}
	}
	return nil
}

func measureLayoutConvergence(ctx context.Context, out *output, l layout) error {
	b, err := startBench(ctx, l)
	if err != nil {
		return err
	}
	defer b.Close()
	if _, err := b.publish(ctx, baseTicket(l.nodes)); err != nil {
		return err
	}
	baseline := startBaseline(ctx, b)
	defer baseline.stop()
	cases := []struct {
		name string
		run  func(context.Context) ([]publication, error)
	}{
		{"single", b.publishSingles},
		{"burst", b.publishBurst},
		{"churn", b.publishDuringChurn},
		{"after_outage", b.publishAfterOutage},
	}
	for _, c := range cases {
		published, err := c.run(ctx)
		if err != nil {
			return err
		}
		if err := b.awaitLastApplied(ctx, published); err != nil {
			return err
		}
		if err := b.printConvergence(ctx, out, l.name, c.name, published); err != nil {
			return err
		}
	}
	baselineTimes, err := baseline.publishSingles(ctx)
	if err != nil {
		return err
	}
	printTimes(out, l.name, "baseline_single", baselineTimes)
	return nil
}

func (b *bench) awaitLastApplied(ctx context.Context, published []publication) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return b.awaitApplied(ctx, published[len(published)-1].position)
}

// publishSingles publishes singleTickets tickets with a pause after each.
func (b *bench) publishSingles(ctx context.Context) ([]publication, error) {
	var published []publication
	for i := range singleTickets {
		p, err := b.publish(ctx, routeChange(b.Nodes[0].Service, i))
		if err != nil {
			return nil, err
		}
		published = append(published, p)
		sleep(ctx, singlePause)
	}
	return published, nil
}

// publishBurst publishes burstTickets tickets without a pause.
func (b *bench) publishBurst(ctx context.Context) ([]publication, error) {
	var published []publication
	for i := range burstTickets {
		p, err := b.publish(ctx, routeChange(b.Nodes[0].Service, i))
		if err != nil {
			return nil, err
		}
		published = append(published, p)
	}
	return published, nil
}

// publishDuringChurn publishes single tickets while targets are killed and
// restarted.
func (b *bench) publishDuringChurn(ctx context.Context) ([]publication, error) {
	churnCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; churnCtx.Err() == nil; i++ {
			node := b.Nodes[i%len(b.Nodes)]
			if target := node.Target(); target != nil && target.Running() {
				target.Kill()
				_ = node.StartTarget()
			}
			sleep(churnCtx, 250*time.Millisecond)
		}
	}()
	published, err := b.publishSingles(ctx)
	stop()
	<-done
	return published, err
}

// publishAfterOutage publishes one ticket right after the end of a platform
// outage.
func (b *bench) publishAfterOutage(ctx context.Context) ([]publication, error) {
	if err := b.Platform.SetMode(ctx, platform.Mode{Outage: true}); err != nil {
		return nil, err
	}
	sleep(ctx, outageDuration)
	if err := b.Platform.SetMode(ctx, platform.Mode{}); err != nil {
		return nil, err
	}
	p, err := b.publish(ctx, routeChange(b.Nodes[0].Service, 0))
	return []publication{p}, err
}

// printConvergence prints quantiles of the time from the acknowledgement of
// each ticket until a node had applied it, over all tickets and nodes.
func (b *bench) printConvergence(ctx context.Context, out *output, layout, name string, published []publication) error {
	sleep(ctx, 200*time.Millisecond) // until the last log lines are written
	var times []time.Duration
	for _, node := range b.Nodes {
		installs, err := readInstalledVersions(b.Dir(), node)
		if err != nil {
			return err
		}
		for _, p := range published {
			if at, ok := installedAt(installs, p.position); ok {
				times = append(times, max(0, at.Sub(p.acknowledged)))
			}
		}
	}
	printTimes(out, layout, name, times)
	return nil
}

// installedVersion is one log line of a node that says when it installed a
// version.
type installedVersion struct {
	at       time.Time
	position uint64
}

// readInstalledVersions reads the installed versions from the node's log,
// oldest first.
func readInstalledVersions(dir string, node *fleet.Node) ([]installedVersion, error) {
	file, err := os.Open(filepath.Join(dir, node.ID+".log"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var installs []installedVersion
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Time    time.Time `json:"time"`
			Event   int       `json:"event"`
			Version string    `json:"version"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Event != logging.SnapshotInstalled.Code {
			continue
		}
		text, _, _ := strings.Cut(line.Version, "@")
		position, err := strconv.ParseUint(text, 10, 64)
		if err == nil {
			installs = append(installs, installedVersion{at: line.Time, position: position})
		}
	}
	return installs, lines.Err()
}

// installedAt returns when the node first installed the position or a later one,
// and false when it has not yet.
func installedAt(installs []installedVersion, position uint64) (time.Time, bool) {
	for _, install := range installs {
		if install.position >= position {
			return install.at, true
		}
	}
	return time.Time{}, false
}

func printTimes(out *output, layout, name string, times []time.Duration) {
	slices.Sort(times)
	out.line(
		field{"layout", layout}, field{"case", name}, field{"samples", len(times)},
		field{"p50_ms", millis(quantile(times, 0.5))},
		field{"p99_ms", millis(quantile(times, 0.99))},
		field{"max_ms", millis(quantile(times, 1))},
	)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func millis(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
