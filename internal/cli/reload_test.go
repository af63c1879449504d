package cli

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
)

// TestPanicInReloadEndsProcess lets the loading of the settings panic at a signal. The next signal
// loads them again.
func TestPanicInReloadEndsProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logger := logging.New(io.Discard, "info", "n")
	signals, loaded := make(chan os.Signal), make(chan struct{})
	loads := 0
	go reloadOnSignal(ctx, signals, logger, func() (config.Settings, error) {
		if loads++; loads == 1 {
			panic("on purpose, in a reload")
		}
		close(loaded)
		return config.Defaults(), nil
	})
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	select {
	case <-loaded:
	case <-time.After(time.Minute):
		t.Fatal("the settings are not loaded again")
	}
	is.Equal(logger.Panics(), uint64(1))
}
