package config

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/peterbourgon/ff/v3"

	"jasminegate/internal/strictyaml"
)

const minimal = `node:
  id: kitchen-1
  domain: casa-port
  callers_address: 10.1.0.1:8080
  admin_address: 10.1.0.1:8081
  control_address: 10.1.0.1:8082
  calls_address: 10.1.0.1:8083
platform:
  url: http://10.0.0.5:7000
`

func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	settings, err := Parse("node.yaml", []byte(minimal+"calls: {max_body_bytes: 1GiB, silence_timeout: 1.5s}\n"))
	is.NoErr(err)
	is.Equal(settings.Node.ID, "kitchen-1")
	is.Equal(settings.Spread, Defaults().Spread)
	is.Equal(settings.Calls.MaxBodyBytes, int64(1<<30))
	is.Equal(settings.Calls.SilenceTimeout, 1500*time.Millisecond)
}

func TestParseReportsEachFault(t *testing.T) {
	cases := map[string]struct {
		change [2]string // text of minimal and its replacement
		extra  string
		want   []string // how line, key and text of each reported problem begin
	}{
		"unknown key":           {extra: "spread: {readres: 2}", want: []string{"10: spread.readres: unknown key: remove it or use one of: readers, fan_out"}},
		"unknown group":         {extra: "spred: {}", want: []string{"10: spred: unknown key"}},
		"repeated key":          {extra: "spread:\n  readers: 2\n  readers: 3", want: []string{"12: spread.readers: key is given twice, first on line 11"}},
		"repeated group":        {extra: "node: {}", want: []string{"10: node: key is given twice, first on line 1"}},
		"missing unit":          {extra: "membership: {probe_interval: 500}", want: []string{`10: membership.probe_interval: "500" has no unit: add one of`}},
		"bare zero":             {extra: "calls: {idle_timeout: 0}", want: []string{`10: calls.idle_timeout: "0" has no unit`}},
		"wrong duration unit":   {extra: "calls: {idle_timeout: 5 days}", want: []string{`10: calls.idle_timeout: "days" is not a known unit`}},
		"wrong size unit":       {extra: "calls: {buffer_bytes: 16MB}", want: []string{`10: calls.buffer_bytes: "MB" is not a known unit`}},
		"size without unit":     {extra: "calls: {buffer_bytes: 65536}", want: []string{`10: calls.buffer_bytes: "65536" has no unit`}},
		"size overflows":        {extra: "calls: {buffer_bytes: 9223372036854775807GiB}", want: []string{`10: calls.buffer_bytes: "9223372036854775807GiB" is malformed or out of range`}},
		"size out of range":     {extra: "calls: {buffer_bytes: 1GiB}", want: []string{"10: calls.buffer_bytes: 1GiB is out of range: use 1KiB to 64MiB"}},
		"duration out of range": {extra: "calls: {drain_timeout: 2h}", want: []string{"10: calls.drain_timeout: 2h is out of range: use 100ms to 1h"}},
		"negative duration":     {extra: "calls: {drain_timeout: -1s}", want: []string{"10: calls.drain_timeout: -1s is out of range"}},
		"not a number":          {extra: "calls: {retry_ratio: .nan}", want: []string{`10: calls.retry_ratio: ".nan" is not a valid value`}},
		"NaN spelled out":       {extra: "calls: {retry_ratio: NaN}", want: []string{"10: calls.retry_ratio: NaN is out of range: use 0 to 1"}},
		"octal":                 {extra: "spread: {readers: 0o2}", want: []string{"10: spread.readers: \"0o2\" is not a valid value"}},
		"boolean by yes":        {extra: "telemetry: {profiling: yes}", want: []string{"10: telemetry.profiling: \"yes\" is not a valid value"}},
		"no value":              {extra: "telemetry: {log_level: }", want: []string{"10: telemetry.log_level: has no value"}},
		"number for text":       {change: [2]string{"kitchen-1", "12"}, want: []string{"2: node.id: 12 is not text: put it in quotes"}},
		"value for group":       {extra: "spread: 2", want: []string{"10: spread: is not a group of keys"}},
		"group for value":       {extra: "spread: {readers: {a: 1}}", want: []string{"10: spread.readers: is not a single value"}},
		"alias":                 {change: [2]string{"kitchen-1", "&a kitchen-1"}, extra: "spread: {readers: *a}", want: []string{"2: node.id: anchors and aliases", "10: spread.readers: anchors and aliases"}},
		"second document":       {extra: "---\nnode: {}", want: []string{"10: a second document follows"}},
		"not YAML":              {extra: "node: [", want: []string{"10: not YAML: did not find"}},
		"not a group at all":    {change: [2]string{minimal, "- 1"}, want: []string{"1: is not a group of keys"}},
		"empty": {change: [2]string{minimal, ""}, want: []string{
			"node.id: is missing", "node.domain: is missing", "platform.url: is missing", "node.callers_address: is missing",
			"node.admin_address: is missing", "node.control_address: is missing", "node.calls_address: is missing"}},
		"missing domain":              {change: [2]string{"  domain: casa-port\n", ""}, want: []string{"1: node.domain: is missing"}},
		"host name":                   {change: [2]string{"10.1.0.1:8082", "kitchen:8082"}, want: []string{`6: node.control_address: "kitchen:8082" is not an IP address with a port`}},
		"port 0":                      {change: [2]string{"10.1.0.1:8082", "10.1.0.1:0"}, want: []string{"6: node.control_address: "}},
		"unspecified, not advertised": {change: [2]string{"10.1.0.1:8082", "0.0.0.0:8082"}, want: []string{"6: node.control_address: 0.0.0.0:8082 is advertised to other nodes"}},
		"same listener":               {change: [2]string{"10.1.0.1:8083", "10.1.0.1:8081"}, want: []string{"7: node.calls_address: listens on the same port as node.admin_address"}},
		"unspecified clashes":         {change: [2]string{"callers_address: 10.1.0.1:8080", "callers_address: 0.0.0.0:8083"}, want: []string{"7: node.calls_address: listens on the same port as node.callers_address"}},
		"checkpoint interval 0s":      {change: [2]string{"7000\n", "7000\n  checkpoint_interval: 0s\n"}, want: []string{"10: platform.checkpoint_interval: 0s is out of range"}},
		"forget below fence":          {extra: "membership:\n  fence_timeout: 8s\n  forget_timeout: 8s", want: []string{"12: membership.forget_timeout: is not above membership.fence_timeout"}},
		"forget by its default":       {extra: "membership:\n  fence_timeout: 20s", want: []string{"10: membership.forget_timeout: is not above membership.fence_timeout"}},
		"probe overlaps":              {extra: "membership: {probe_timeout: 500ms, probe_interval: 500ms}", want: []string{"10: membership.probe_timeout: is not below membership.probe_interval"}},
		"suspicion too short":         {extra: "membership: {suspicion_timeout: 100ms}", want: []string{"10: membership.suspicion_timeout: is below membership.probe_interval"}},
		"relay too slow":              {extra: "membership: {relay_interval: 2s}", want: []string{"10: membership.relay_interval: is over half of the 3s"}},
		"fence too short":             {extra: "membership: {fence_timeout: 900ms}", want: []string{"10: membership.fence_timeout: is below twice"}},
		"buffer above body":           {extra: "calls: {max_body_bytes: 8KiB}", want: []string{"10: calls.buffer_bytes: is above calls.max_body_bytes"}},
		"level":                       {extra: "telemetry: {log_level: loud}", want: []string{`10: telemetry.log_level: "loud" is not a log level: use one of: debug, info`}},
		"platform not HTTP":           {change: [2]string{"http://10.0.0.5:7000", "10.0.0.5:7000"}, want: []string{`9: platform.url: "10.0.0.5:7000" is not an HTTP URL`}},
		"advertised without port":     {change: [2]string{"platform:", "  calls_advertise_address: 10.9.0.1\nplatform:"}, want: []string{`8: node.calls_advertise_address: "10.9.0.1" is not an IP`}},
		"advertised unspecified":      {change: [2]string{"platform:", "  calls_advertise_address: 0.0.0.0:9\nplatform:"}, want: []string{"8: node.calls_advertise_address: 0.0.0.0:9 cannot be connected to"}},
		"own seed of a faulty node": {change: [2]string{"  domain: casa-port\n", "  seeds: [{id: kitchen-1, domain: d, control_address: 10.1.0.1:8082}]\n"},
			want: []string{"1: node.domain: is missing"}},
		"seed twice": {change: [2]string{"platform:", "  seeds:\n    - {id: b, domain: d, control_address: 10.1.0.2:1}\n    - {id: b, domain: d, control_address: 10.1.0.2:1}\nplatform:"},
			want: []string{`10: node.seeds[1].id: "b" is given twice`}},
		"seed without address": {change: [2]string{"platform:", "  seeds: [{id: b, domain: d}]\nplatform:"}, want: []string{"8: node.seeds[0].control_address: is missing"}},
		"own seed differs": {change: [2]string{"platform:", "  seeds: [{id: kitchen-1, domain: fes-medina, control_address: 10.1.0.1:8082}]\nplatform:"},
			want: []string{`8: node.seeds[0].domain: "fes-medina" differs from node.domain "casa-port"`}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := minimal
			if tc.change[0] != "" {
				text = strings.Replace(minimal, tc.change[0], tc.change[1], 1)
			}
			_, err := Parse("node.yaml", []byte(text+tc.extra+"\n"))
			problems, ok := err.(*Problems)
			is.True(ok) // a *Problems error
			t.Log(problems)
			is.Equal(len(problems.List), len(tc.want)) // each problem once, no others
			for i, want := range tc.want {
				got := strings.TrimPrefix(strings.TrimPrefix(problems.List[i].String(), "node.yaml"), ":")
				is.True(strings.HasPrefix(strings.TrimSpace(got), want)) // line, key and text
				is.True(problems.List[i].Remedy != "")
			}
		})
	}
}

func TestAdvertisedAddressReplacesUnspecified(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(minimal, "control_address: 10.1.0.1:8082", "control_address: 0.0.0.0:8082\n  control_advertise_address: 10.9.0.1:82", 1)
	settings, err := Parse("node.yaml", []byte(text))
	is.NoErr(err)
	is.Equal(settings.Node.AdvertisedControlAddress(), "10.9.0.1:82")
}

func TestOwnSeedIsDropped(t *testing.T) {
	is := is.New(t)
	seeds := "  seeds:\n    - {id: kitchen-1, domain: casa-port, control_address: 10.1.0.1:8082}\n    - {id: b, domain: d, control_address: 10.1.0.2:1}\nplatform:"
	settings, err := Parse("node.yaml", []byte(strings.Replace(minimal, "platform:", seeds, 1)))
	is.NoErr(err)
	is.Equal(settings.Node.Seeds, []Seed{{ID: "b", Domain: "d", ControlAddress: "10.1.0.2:1"}})
}

// TestOverrides checks that flags take precedence over environment variables and
// both over the file, and that overriding values are validated like values in the
// file.
func TestOverrides(t *testing.T) {
	cases := map[string]struct {
		env     map[string]string
		args    []string
		readers int
		problem string
	}{
		"file":               {readers: 3},
		"environment":        {env: map[string]string{"JASMINEGATE_SPREAD_READERS": "4"}, readers: 4},
		"flag":               {env: map[string]string{"JASMINEGATE_SPREAD_READERS": "4"}, args: []string{"-spread.readers", "5"}, readers: 5},
		"last flag":          {args: []string{"-spread.readers", "5", "-spread.readers", "6"}, readers: 6},
		"out of range":       {args: []string{"-spread.readers", "99"}, problem: "flag --spread.readers or JASMINEGATE_SPREAD_READERS: spread.readers: 99 is out of range"},
		"without unit":       {env: map[string]string{"JASMINEGATE_CALLS_IDLE_TIMEOUT": "9"}, problem: "flag --calls.idle_timeout or JASMINEGATE_CALLS_IDLE_TIMEOUT: calls.idle_timeout: \"9\" has no unit"},
		"broken combination": {args: []string{"-membership.forget_timeout", "1s"}, problem: "flag --membership.forget_timeout"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "node.yaml")
			is.NoErr(os.WriteFile(path, []byte(minimal+"spread: {readers: 3}\n"), 0o600))
			for key, value := range tc.env {
				t.Setenv(key, value)
			}
			flags := flag.NewFlagSet("node", flag.ContinueOnError)
			overrides := RegisterFlags(flags)
			is.NoErr(ff.Parse(flags, tc.args, ff.WithEnvVarPrefix(EnvPrefix)))
			settings, err := Load(path, overrides.List...)
			if tc.problem == "" {
				is.NoErr(err)
				is.Equal(settings.Spread.Readers, tc.readers)
				return
			}
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), tc.problem))
		})
	}
}

func TestOverrideReplacesInvalidValue(t *testing.T) {
	is := is.New(t)
	text := []byte(minimal + "spread: {readers: many}\n")
	_, err := Parse("node.yaml", text, Override{Key: "spread.readers", Value: "2", Source: "flag"})
	is.NoErr(err)
	_, err = Parse("node.yaml", []byte(minimal+"spread: {readers: 1, readers: 1}\n"), Override{Key: "spread.readers", Value: "2", Source: "flag"})
	is.True(err != nil) // an override does not excuse a repeated key
}

func TestLoadUnreadable(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.yaml"))
	is.True(errorx.IsOfType(err, ErrUnreadable))
}

// TestEveryKeyIsChecked checks that each scalar setting has exactly one rule.
func TestEveryKeyIsChecked(t *testing.T) {
	is := is.New(t)
	checked := map[string]bool{"node.seed": true, "telemetry.profiling": true, "calls.fixed_limit": true, "deployment.revoke_strict": true, "tenants.revoke_strict": true} // any value is valid
	for _, rule := range rules {
		is.True(!checked[rule.key]) // one rule a key
		checked[rule.key] = true
	}
	for _, scalar := range strictyaml.Scalars(Settings{}) {
		if !checked[scalar.Key] {
			t.Errorf("no rule checks %s", scalar.Key)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{minimal, "", "a: &a [*a]", "? [1]\n: 2", "node: {seeds: [{}, 1]}", "<<: {a: 1}", "--- !!binary x", "\xff\xfe", "node: {id: !!int \"1\"}", "a:\n\t- b"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Parse("fuzz.yaml", data)
		if err == nil && (settings.Node.ID == "" || settings.Membership.ForgetTimeout <= settings.Membership.FenceTimeout) {
			t.Fatalf("invalid settings accepted: %+v", settings)
		}
		if err == nil {
			return
		}
		problems, ok := err.(*Problems)
		if !ok || len(problems.List) == 0 {
			t.Fatalf("error is not a *Problems with at least one problem: %v", err)
		}
		for _, problem := range problems.List {
			if problem.Text == "" || problem.Remedy == "" {
				t.Fatalf("problem without text or remedy: %+v", problem)
			}
		}
	})
}
