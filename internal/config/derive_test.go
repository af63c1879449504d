package config

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
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
			5300 * time.Millisecond, 2500 * time.Millisecond, time.Second, 0.15,
			"calls.drain_timeout calls.leave_delay calls.retry_ratio platform.read_wait", ""},
		"longer grace and bounds": {"stop_grace: 10s, change_bound: 3s, settle_time: 4s",
			9300 * time.Millisecond, 2500 * time.Millisecond, 1500 * time.Millisecond, 0.1,
			"calls.drain_timeout calls.leave_delay platform.read_wait", ""},
		"short settle time":  {"change_bound: 2s, settle_time: 1200ms", Defaults().Calls.DrainTimeout, 0, 700 * time.Millisecond, 0.1, "platform.read_wait", ""},
		"short grace":        {"stop_grace: 2s", 1700 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second, 0.1, "calls.drain_timeout calls.leave_delay", ""},
		"tight bounds":       {"change_bound: 300ms, settle_time: 300ms", Defaults().Calls.DrainTimeout, 0, 500 * time.Millisecond, 0.1, "platform.read_wait", ""},
		"given by hand":      {"stop_grace: 6s", 4 * time.Second, time.Second, 2 * time.Second, 0.1, "", "calls: {drain_timeout: 4s, leave_delay: 1s}\n"},
		"one of two by hand": {"stop_grace: 6s", 4 * time.Second, 2500 * time.Millisecond, 2 * time.Second, 0.1, "calls.leave_delay", "calls: {drain_timeout: 4s}\n"},
		"strict revocation": {"change_bound: 2s, settle_time: 3s, revoke_bound: 4s, revoke_strict: true", Defaults().Calls.DrainTimeout, 0, 500 * time.Millisecond, 0.1,
			"tenants.revoke_bound tenants.revoke_strict platform.read_wait", ""},
		"strict revocation at once": {"revoke_bound: 1ms, revoke_strict: true", Defaults().Calls.DrainTimeout, 0, 50 * time.Millisecond, 0.1,
			"tenants.revoke_bound tenants.revoke_strict platform.read_wait", ""},
		// The derived read wait was too long for the default bound, and no node started.
		"strict without bound": {"change_bound: 3s, settle_time: 4s, revoke_strict: true", Defaults().Calls.DrainTimeout, 0, 625 * time.Millisecond, 0.1,
			"tenants.revoke_strict platform.read_wait", ""},
		"strict by hand": {"change_bound: 3s, settle_time: 4s", Defaults().Calls.DrainTimeout, 0, 125 * time.Millisecond, 0.1,
			"platform.read_wait", "tenants: {revoke_strict: true, revoke_bound: 1s}\n"},
		"revocation":          {"revoke_bound: 4s, revoke_strict: false", Defaults().Calls.DrainTimeout, 0, 2 * time.Second, 0.1, "tenants.revoke_bound", ""},
		"settle time missing": {"change_bound: 2s", Defaults().Calls.DrainTimeout, 0, 2 * time.Second, 0.1, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loaded, err := parse("node.yaml", append(withDeployment(tc.deployment), tc.givenExtra...), nil)
			is.NoErr(err)
			is.NoErr(loaded.Strict())
			settings, derived := loaded.Settings, loaded.Derived
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

func TestLimitsOfProcessFollowFromDeployment(t *testing.T) {
	for deployment, want := range map[string]Node{
		"":                                       {MemoryBytes: 1 << 30, Descriptors: 16384},
		"memory_bytes: 0B, descriptors: 0":       {MemoryBytes: 1 << 30, Descriptors: 16384},
		"memory_bytes: 184000000B":               {MemoryBytes: 184_000_000, Descriptors: 16384},
		"descriptors: 4100":                      {MemoryBytes: 1 << 30, Descriptors: 4100},
		"memory_bytes: 1MiB, descriptors: 20":    {MemoryBytes: 32 << 20, Descriptors: 512},
		"memory_bytes: -1B, descriptors: many":   {MemoryBytes: 1 << 30, Descriptors: 16384},
		"memory_bytes: 9000000GiB, descriptors:": {MemoryBytes: 1 << 30, Descriptors: 16384},
	} {
		is := is.New(t)
		loaded, err := parse("node.yaml", withDeployment(deployment), nil)
		is.NoErr(err)
		is.Equal(loaded.Settings.Node.MemoryBytes, want.MemoryBytes)
		is.Equal(loaded.Settings.Node.Descriptors, want.Descriptors)
	}
}

func TestOverrideGoesBeforeDerivedSetting(t *testing.T) {
	is := is.New(t)
	loaded, err := parse("node.yaml", withDeployment("stop_grace: 6s"), []Override{{Key: "calls.drain_timeout", Value: "3s"}})
	is.NoErr(err)
	is.Equal(loaded.Settings.Calls.DrainTimeout, 3*time.Second)
}

func TestDeploymentThatCannotBeKept(t *testing.T) {
	for deployment, want := range map[string]string{
		"stop_grace: 25h":  "deployment.stop_grace: 25h is out of range: use 0s or 1ms to 24h",
		"stop_grace: -1s":  "deployment.stop_grace: -1s is out of range",
		"retry_ratio: 101": "deployment.retry_ratio: 101 is out of range",
		"stop_grace: 6s}\ncalls: {drain_timeout: 5500ms": "calls.drain_timeout: is less than 700ms, or 15 % of it if that is less, below deployment.stop_grace",
	} {
		loaded, err := parse("node.yaml", withDeployment(deployment), nil)
		err = cmp.Or(err, loaded.Strict())
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", deployment, err, want)
		}
	}
}

// TestStatementOfDeploymentKeepsNodeFromStarting: one value that a platform stated and the node
// could not use refused the settings of the whole fleet.
func TestStatementOfDeploymentKeepsNodeFromStarting(t *testing.T) {
	for deployment, ignored := range map[string]string{
		"stop_grace: 500ms":                       "",
		"stop_grace: 1ms":                         "",
		"stop_grace: 1200ms":                      "",
		"stop_grace: 24h":                         "",
		"retry_ratio: 2.5":                        "",
		"heartbeat: 1ms":                          "",
		"bandwidth_mbps: 400000":                  "",
		"stop_grace: ''":                          "deployment.stop_grace",
		"stop_grace: soon, retry_ratio: 0.2":      "deployment.stop_grace",
		"stop_grace: 6, settle_time: 3s":          "deployment.stop_grace",
		"change_bound: [2s]":                      "deployment.change_bound",
		"bandwidth_mbps: ":                        "deployment.bandwidth_mbps",
		"of_a_later_release: {a: 1}":              "deployment.of_a_later_release",
		"retry_ratio: -1, heartbeat: true":        "deployment.heartbeat deployment.retry_ratio",
		"stop_grace: 6s, stop_grace: 7s":          "deployment.stop_grace",
		"bandwidth_mbps: 1e300, settle_time: 99h": "deployment.settle_time deployment.bandwidth_mbps",
	} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			loaded, err := parse("node.yaml", withDeployment(deployment), nil)
			is.NoErr(err)
			var keys []string
			for _, problem := range loaded.Ignored {
				keys = append(keys, problem.Key)
			}
			slices.Sort(keys)
			want := strings.Fields(ignored)
			slices.Sort(want)
			is.Equal(strings.Join(keys, " "), strings.Join(want, " "))
			is.Equal(loaded.Strict() == nil, ignored == "")
		})
	}
}

// TestEmptyGroupOfDeploymentKeepsNodeFromStarting: a template whose placeholders are all empty.
func TestEmptyGroupOfDeploymentKeepsNodeFromStarting(t *testing.T) {
	is := is.New(t)
	loaded, err := parse("node.yaml", []byte(minimal+"deployment:\n"), nil)
	is.NoErr(err)
	is.Equal(loaded.Ignored[0].Key, "deployment")
	is.Equal(loaded.Settings.Calls, Defaults().Calls)
}

// TestDerivedSettingsPassTheCheck draws deployments between 0.003 and 40 times the usual one.
func TestDerivedSettingsPassTheCheck(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 38))
		around := func(usual time.Duration) time.Duration {
			return time.Duration(float64(usual) * 0.003 * math.Pow(40/0.003, random.Float64())).Round(time.Millisecond)
		}
		stated := Deployment{
			StopGrace: around(6 * time.Second), ChangeBound: around(2 * time.Second), SettleTime: around(3 * time.Second),
			RetryRatio:  0.06 + 0.74*random.Float64(),
			RevokeBound: around(5 * time.Second), RevokeStrict: seed%2 == 0,
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
		if stated.StopGrace >= 2*minDrainTimeout {
			reserve := min(stopReserve, time.Duration(stopReserveShare*float64(stated.StopGrace)))
			is.True(settings.Calls.DrainTimeout+reserve <= stated.StopGrace)
			is.True(settings.Calls.DrainTimeout > stated.StopGrace*5/6-stopReserve) // runs get their time
			is.True(stated.StopGrace > 4*time.Second || settings.Calls.DrainTimeout >= stated.StopGrace*5/6)
		}
		is.True(settings.Calls.DrainTimeout < stated.StopGrace || settings.Calls.DrainTimeout == minDrainTimeout)
		is.True(settings.Calls.RetryRatio < stated.RetryRatio)
		promised := stated.ChangeBound + stated.SettleTime
		is.True(settings.Platform.ReadWait <= max(minReadWait, promised-readReserve))
	}
}
