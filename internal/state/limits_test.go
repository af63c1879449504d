package state

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallerLimits checks that limits stay in place until a ticket changes them or
// replaces the whole configuration without them.
func TestCallerLimits(t *testing.T) {
	is := is.New(t)
	limits := CallerLimits{HeaderBytes: 16384, IdleTimeout: Duration(15 * time.Second)}
	first, err := Ticket{Number: 1, CallerLimits: &limits}.Changes()
	is.NoErr(err)
	limited, err := Empty().With(1, first)
	is.NoErr(err)
	is.Equal(limited.CallerLimits(), limits)
	is.True(limited.Version().Digest != Empty().Version().Digest)

	kept, err := limited.With(2, nil)
	is.NoErr(err)
	is.Equal(kept.CallerLimits(), limits)

	replaced, err := limited.With(3, limited.ReplacementChanges(nil))
	is.NoErr(err)
	is.Equal(replaced.CallerLimits(), CallerLimits{})
	is.Equal(replaced.Version().Digest, Empty().Version().Digest)
}

func TestViolationsOfCallerLimits(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Ticket{Number: 1, CallerLimits: &CallerLimits{}}.Violations()), 0)
	violations := Ticket{Number: 1, CallerLimits: &CallerLimits{
		HeaderBytes: -1, BodyBytes: MaxBodyBytes + 1,
		HeaderTimeout: -1, IdleTimeout: Duration(MaxIdleTimeout + 1),
	}}.Violations()
	is.Equal(len(violations), 4)
}
