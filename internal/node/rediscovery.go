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
	"jasminegate/internal/transport/responsehead"
)

const (
	// rediscoveryTimeout bounds the rediscovery. A running target has announced
	// itself by then.
	rediscoveryTimeout = 3 * time.Second
	// configurationPollInterval is the time between two checks for a configuration.
	configurationPollInterval = 20 * time.Millisecond
	// healthRetryInterval is the time between two health checks of a target whose
	// health is unknown.
	healthRetryInterval = 250 * time.Millisecond
	// healthCheckTimeout bounds one health check. A saturated target responds late.
	healthCheckTimeout = 500 * time.Millisecond
	// rediscoveredTargetTTL is how long a rediscovered target counts as announced.
	// A running target announces itself several times within it.
	rediscoveredTargetTTL = 5 * time.Second
)

// rediscoverTarget checks the health of the target that the node's previous
// incarnation served, so that a node that restarts beside a running target does
// not wait for the target's next announcement. The target counts as announced
// only after a health check with status 200; a draining target is expected to
// respond with another status.
func (n *node) rediscoverTarget(ctx context.Context) error {
	hasPreviousTarget := n.previousSelf.Slots > 0 && n.settings.Node.TargetAddress != ""
	if configured := n.settings.Node.Service; !hasPreviousTarget || configured != "" && configured != n.previousSelf.Service {
		return nil
	}
	client := newHealthClient()
	deadline := time.Now().Add(rediscoveryTimeout)
	for time.Now().Before(deadline) && !n.targets.hasReported() {
		delay := configurationPollInterval
		if service, ok := n.configuredService(n.previousSelf.Service); ok {
			target, header, health := n.checkHealth(ctx, client, service)
			if health == targetHealthy {
				n.targets.addRediscovered(target, rediscoveredTargetTTL)
				n.calls.ObserveHealthCheck(target, header)
			}
			if health != targetHealthUnknown {
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

// maxHealthRetryInterval bounds the time between two health checks for a held report.
const maxHealthRetryInterval = 2 * time.Second

// confirmReports checks the health of targets whose reports are held, until ctx ends.
func (n *node) confirmReports(ctx context.Context) error {
	client := newHealthClient()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.targets.holding:
			n.confirmReport(ctx, client)
		}
	}
}

// confirmReport returns once no report is held. A report is in effect once a health check of its
// instance had status 200: a target that is leaving responds with another status.
func (n *node) confirmReport(ctx context.Context, client *http.Client) {
	for delay := healthRetryInterval; ; delay = min(2*delay, maxHealthRetryInterval) {
		held, ok := n.targets.heldTarget(time.Now())
		if !ok {
			return
		}
		if service, ok := n.configuredService(held.Service); ok {
			healthy, header, health := n.checkHealth(ctx, client, service)
			if health == targetHealthy && n.targets.confirm(healthy.Instance) {
				n.calls.ObserveHealthCheck(held, header)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// newHealthClient returns the HTTP client for health checks. It follows no redirect: only
// the target itself can say that it is healthy.
func newHealthClient() *http.Client {
	return &http.Client{
		Timeout:       healthCheckTimeout,
		Transport:     responsehead.Checked(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: calls.MaxResponseHeadBytes}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// configuredService returns the service, once there is a configuration that gives it a health
// path.
func (n *node) configuredService(name string) (state.Service, bool) {
	snapshot := n.configuration.Snapshot()
	if snapshot == nil {
		return state.Service{}, false
	}
	service, ok := snapshot.Service(name)
	return service, ok && service.HealthPath != ""
}

// targetHealth is the result of a health check.
type targetHealth int

const (
	targetHealthy targetHealth = iota
	// targetHealthUnknown means that the target may be healthy but did not confirm
	// it: the check timed out, or the response had another status than 200, lacked
	// the instance ID that the contract requires or stated that the target is
	// leaving. The check is retried.
	targetHealthUnknown
	// targetUnreachable means that the check failed with an error other than a
	// timeout. The check is not retried.
	targetUnreachable
)

// checkHealth checks the target's health. It returns the target and the headers of its
// response only if the target is healthy.
func (n *node) checkHealth(ctx context.Context, client *http.Client, service state.Service) (calls.Target, http.Header, targetHealth) {
	address := n.settings.Node.TargetAddress
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+service.HealthPath, nil)
	if err != nil {
		n.logger.Event(logging.TargetNotFound).Str("service", service.Name).Err(err).Send()
		return calls.Target{}, nil, targetUnreachable
	}
	response, err := client.Do(request)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return calls.Target{}, nil, targetHealthUnknown
		}
		n.logger.Event(logging.TargetNotFound).Str("service", service.Name).Err(err).Send()
		return calls.Target{}, nil, targetUnreachable
	}
	defer response.Body.Close()
	instance := ""
	if n.contract.InstanceID != "" {
		instance = response.Header.Get(n.contract.InstanceID)
	}
	leaving := n.contract.TargetLeaving != "" && response.Header.Get(n.contract.TargetLeaving) == "1"
	if response.StatusCode != http.StatusOK || leaving || instance == "" && n.contract.InstanceID != "" {
		return calls.Target{}, nil, targetHealthUnknown
	}
	return calls.Target{
		Service:     service.Name,
		Slots:       int(n.previousSelf.Slots),
		Connections: service.Connections,
		Address:     address,
		Instance:    instance,
		State:       membership.TargetReady,
		Version:     n.previousSelf.TargetVersion,
	}, response.Header, targetHealthy
}
