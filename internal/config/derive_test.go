package config

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withDeployment is minimal with what a deployment states.
func withDeployment(deployment string) []byte {
	return []byte(minimal + "deployment: {" + deployment + "}\n")
}

func TestSettingsFollowFromDeployment(t *testing.T) {
	for name, tc := range map[string]struct {
		deployment              string
		drain, leave, read      time.Duration
		retryRatio              float64
		derivedKeys, givenExtra string
	}{
		"nothing stated": {"", Defaults().Calls.DrainTimeout, 0, 2 * time.Second, 0.1, "", ""},
		"all stated": {"stop_grace: 6s, change_bound: 2s, settle_time: 3s, retry_ratio: 0.2",
			5300 * time.Millisecond, 2500 * time.Millisecond, 2500 * time.Millisecond, 0.15,
			"calls.drain_timeout calls.leave_delay calls.retry_ratio platform.read_wait", ""},
		"longer grace and bounds": {"stop_grace: 10s, change_bound: 3s, settle_time: 4s",
			9300 * time.Millisecond, 2500 * time.Millisecond, 4500 * time.Millisecond, 0.1,
			"calls.drain_timeout calls.leave_delay platform.read_wait", ""},
		"short grace":         {"stop_grace: 2s", 1300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second, 0.1, "calls.drain_timeout calls.leave_delay", ""},
		"tight bounds":        {"change_bound: 300ms, settle_time: 300ms", Defaults().Calls.DrainTimeout, 0, 500 * time.Millisecond, 0.1, "platform.read_wait", ""},
		"given by hand":       {"stop_grace: 6s", 4 * time.Second, time.Second, 2 * time.Second, 0.1, "", "calls: {drain_timeout: 4s, leave_delay: 1s}\n"},
		"one of two by hand":  {"stop_grace: 6s", 4 * time.Second, 2500 * time.Millisecond, 2 * time.Second, 0.1, "calls.leave_delay", "calls: {drain_timeout: 4s}\n"},
		"settle time missing": {"change_bound: 2s", Defaults().Calls.DrainTimeout, 0, 2 * time.Second, 0.1, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings, derived, err := parse("node.yaml", append(withDeployment(tc.deployment), tc.givenExtra...), nil)
			is.NoErr(err)
			is.Equal(settings.Calls.DrainTimeout, tc.drain)
			is.Equal(settings.Calls.LeaveDelay, tc.leave)
			is.Equal(settings.Platform.ReadWait, tc.read)
			is.Equal(settings.Calls.RetryRatio, tc.retryRatio)
			var keys []string
			for _, d := range derived {
				keys = append(keys, d.Key)
			}
			is.Equal(strings.Join(keys, " "), tc.derivedKeys)
		})
	}
}

func TestOverrideGoesBeforeDerivedSetting(t *testing.T) {
	is := is.New(t)
	settings, _, err := parse("node.yaml", withDeployment("stop_grace: 6s"), []Override{{Key: "calls.drain_timeout", Value: "3s"}})
	is.NoErr(err)
	is.Equal(settings.Calls.DrainTimeout, 3*time.Second)
}

func TestDeploymentThatCannotBeKept(t *testing.T) {
	for deployment, want := range map[string]string{
		"stop_grace: 500ms": "deployment.stop_grace: 500ms is out of range: use 0s or 1s to 1h",
		"retry_ratio: 1.5":  "deployment.retry_ratio: 1.5 is out of range",
		"stop_grace: 6s}\ncalls: {drain_timeout: 5500ms": "calls.drain_timeout: is less than 700ms below deployment.stop_grace",
	} {
		_, _, err := parse("node.yaml", withDeployment(deployment), nil)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", deployment, err, want)
		}
	}
}

// TestDerivedSettingsPassTheCheck draws deployments between 0.3 and 4 times the usual one.
func TestDerivedSettingsPassTheCheck(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 38))
		around := func(usual time.Duration) time.Duration {
			return time.Duration(float64(usual) * (0.3 + 3.7*random.Float64())).Round(time.Millisecond)
		}
		stated := Deployment{
			StopGrace: around(6 * time.Second), ChangeBound: around(2 * time.Second), SettleTime: around(3 * time.Second),
			RetryRatio: 0.06 + 0.74*random.Float64(),
		}
		settings := Defaults()
		settings.Deployment = stated
		derive(&settings, func(string) bool { return false })
		for _, constraint := range constraints {
			is.True(!constraint.violated(&settings))
		}
		for _, rule := range rules {
			if strings.HasPrefix(rule.key, "calls.") || strings.HasPrefix(rule.key, "platform.read") {
				text, _ := rule.check(&settings)
				is.Equal(text, "")
			}
		}
		is.True(settings.Calls.DrainTimeout+stopReserve <= stated.StopGrace)
		is.True(settings.Calls.RetryRatio < stated.RetryRatio)
		promised := stated.ChangeBound + stated.SettleTime
		is.True(settings.Platform.ReadWait <= max(minReadWait, promised-readReserve))
	}
}
