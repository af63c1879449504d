package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/state"
)

const (
	// standingWait is how long a starting node looks for a target that was there
	// before it. Later the target's next announcement has come.
	standingWait = 3 * time.Second
	// standingPause is how often the configuration is looked for.
	standingPause = 20 * time.Millisecond
	// busyPause is how long a target that could not answer is left alone.
	busyPause = 250 * time.Millisecond
	// healthTimeout bounds one health check: a full target answers late.
	healthTimeout = 500 * time.Millisecond
	// standingTTL is for how long the target counts as announced by its health
	// alone; a target announces itself several times meanwhile.
	standingTTL = 5 * time.Second
)

// findStanding looks for the target that the node's former process served, so
// that a node which restarts alone need not wait for the next announcement. The
// target itself has to say that it is well and does not leave.
func (n *node) findStanding(ctx context.Context) error {
	known := n.former.Slots > 0 && n.settings.Node.TargetAddress != ""
	if own := n.settings.Node.Service; !known || own != "" && own != n.former.Service {
		return nil
	}
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(standingWait)
	for time.Now().Before(end) && !n.targets.heard() {
		pause := standingPause
		if service, ok := n.standingService(); ok {
			target, state := n.askHealth(ctx, client, service)
			if state == targetWell {
				n.targets.found(target, standingTTL)
			}
			if state != targetBusy {
				return nil
			}
			pause = busyPause
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
	return nil
}

// standingService returns the former target's service once the configuration
// tells how to ask its targets.
func (n *node) standingService() (state.Service, bool) {
	snapshot := n.configuration.Snapshot()
	if snapshot == nil {
		return state.Service{}, false
	}
	service, ok := snapshot.Service(n.former.Service)
	return service, ok && service.HealthPath != ""
}

// health is what a target says when it is asked.
type health int

const (
	targetWell health = iota
	// targetBusy says that it may be well, and could not say so.
	targetBusy
	targetAway
)

func (n *node) askHealth(ctx context.Context, client *http.Client, service state.Service) (calls.Target, health) {
	address := n.settings.Node.TargetAddress
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+service.HealthPath, nil)
	if err != nil {
		n.logger.Event(logging.TargetNotFound).Str("service", service.Name).Err(err).Send()
		return calls.Target{}, targetAway
	}
	response, err := client.Do(request)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return calls.Target{}, targetBusy
		}
		n.logger.Event(logging.TargetNotFound).Str("service", service.Name).Err(err).Send()
		return calls.Target{}, targetAway
	}
	defer response.Body.Close()
	instance := ""
	if n.contract.InstanceID != "" {
		instance = response.Header.Get(n.contract.InstanceID)
	}
	if response.StatusCode != http.StatusOK || instance == "" && n.contract.InstanceID != "" {
		return calls.Target{}, targetBusy
	}
	return calls.Target{
		Service:     service.Name,
		Slots:       int(n.former.Slots),
		Connections: service.Connections,
		Address:     address,
		Instance:    instance,
		State:       membership.TargetReady,
	}, targetWell
}
