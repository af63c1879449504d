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
	// rediscoveryTimeout is how long a starting node looks for a target that was there
	// before it. Later the target's next announcement has come.
	rediscoveryTimeout = 3 * time.Second
	// configurationPollInterval is how often the configuration is looked for.
	configurationPollInterval = 20 * time.Millisecond
	// healthRetryInterval is how long a target that could not answer is left alone.
	healthRetryInterval = 250 * time.Millisecond
	// healthCheckTimeout bounds one health check: a full target answers late.
	healthCheckTimeout = 500 * time.Millisecond
	// rediscoveredTargetTTL is for how long the target counts as announced by its health
	// alone; a target announces itself several times meanwhile.
	rediscoveredTargetTTL = 5 * time.Second
)

// rediscoverTarget looks for the target that the node's former process served, so
// that a node which restarts alone need not wait for the next announcement. The
// target itself has to say that it is well and does not leave.
func (n *node) rediscoverTarget(ctx context.Context) error {
	hasPreviousTarget := n.previousSelf.Slots > 0 && n.settings.Node.TargetAddress != ""
	if configured := n.settings.Node.Service; !hasPreviousTarget || configured != "" && configured != n.previousSelf.Service {
		return nil
	}
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(rediscoveryTimeout)
	for time.Now().Before(deadline) && !n.targets.hasReported() {
		delay := configurationPollInterval
		if service, ok := n.previousService(); ok {
			target, state := n.checkHealth(ctx, client, service)
			if state == targetHealthy {
				n.targets.addRediscovered(target, rediscoveredTargetTTL)
			}
			if state != targetHealthUnknown {
				return nil
			}
			delay = healthRetryInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
	}
	return nil
}

// previousService returns the former target's service once the configuration
// tells how to ask its targets.
func (n *node) previousService() (state.Service, bool) {
	snapshot := n.configuration.Snapshot()
	if snapshot == nil {
		return state.Service{}, false
	}
	service, ok := snapshot.Service(n.previousSelf.Service)
	return service, ok && service.HealthPath != ""
}

// targetHealth is what a target says when it is asked.
type targetHealth int

const (
	targetHealthy targetHealth = iota
	// targetHealthUnknown says that it may be well, and could not say so.
	targetHealthUnknown
	targetUnreachable
)

func (n *node) checkHealth(ctx context.Context, client *http.Client, service state.Service) (calls.Target, targetHealth) {
	address := n.settings.Node.TargetAddress
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+service.HealthPath, nil)
	if err != nil {
		n.logger.Event(logging.TargetNotFound).Str("service", service.Name).Err(err).Send()
		return calls.Target{}, targetUnreachable
	}
	response, err := client.Do(request)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return calls.Target{}, targetHealthUnknown
		}
		n.logger.Event(logging.TargetNotFound).Str("service", service.Name).Err(err).Send()
		return calls.Target{}, targetUnreachable
	}
	defer response.Body.Close()
	instance := ""
	if n.contract.InstanceID != "" {
		instance = response.Header.Get(n.contract.InstanceID)
	}
	if response.StatusCode != http.StatusOK || instance == "" && n.contract.InstanceID != "" {
		return calls.Target{}, targetHealthUnknown
	}
	return calls.Target{
		Service:     service.Name,
		Slots:       int(n.previousSelf.Slots),
		Connections: service.Connections,
		Address:     address,
		Instance:    instance,
		State:       membership.TargetReady,
	}, targetHealthy
}
