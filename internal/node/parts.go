package node

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/sync/errgroup"

	"jasminegate/internal/logging"
)

// parts are the runners and servers of a node. One that fails does not end the others:
// the node then drains, so that the calls in flight end with a response.
type parts struct {
	logger *logging.Logger
	group  errgroup.Group
	once   sync.Once
	// failed is closed once a part has failed.
	failed chan struct{}
}

func newParts(logger *logging.Logger) *parts {
	return &parts{logger: logger, failed: make(chan struct{})}
}

// start runs a part in a goroutine. An error or a panic of it is logged at once.
func (p *parts) start(name string, run func() error) {
	p.group.Go(func() error {
		err := p.logger.Guard(name, run)
		if err == nil || errors.Is(err, context.Canceled) {
			return nil
		}
		p.logger.Event(logging.NodeFailed).Str("part", name).Err(err).Send()
		p.once.Do(func() { close(p.failed) })
		return err
	})
}

// wait waits until all parts have ended, and returns the first error.
func (p *parts) wait() error { return p.group.Wait() }
