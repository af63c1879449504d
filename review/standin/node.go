package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// machine is what the platform states about one machine in the settings of its node.
type machine struct {
	name, zone, service, ip string
}

// Bounds and figures of the deployment; those of the site tfs-dakar.
const (
	boundConfig          = 2 * time.Second
	boundStabilityWindow = 3 * time.Second
	boundMaxSkew         = 5 * time.Second
	boundRecover         = 15 * time.Second
	boundDrain           = 2 * time.Second
	boundGrace           = 6 * time.Second
	heartbeat            = 1500 * time.Millisecond
)

// Ports of a machine.
const (
	portInbound  = "8300"
	portApp      = "8301"
	portReady    = "8302"
	portOutbound = "8304"
	portControl  = "8306"
)

func (m machine) fields(store string) map[string]string {
	return map[string]string{
		fieldNode: m.name, "Zone": m.zone, "Service": m.service, "Ip": m.ip, fieldTarget: m.ip + ":" + portApp,
		"Listen.Outbound": m.ip + ":" + portOutbound, "Listen.Control": m.ip + ":" + portControl,
		"Listen.Ready": m.ip + ":" + portReady, "Listen.Inbound": m.ip + ":" + portInbound,
		fieldPorts + ".0": "7620", fieldPorts + ".1": "7635", "Limits.LinkMbps": "1000.0", "Platform.Address": store, "Heartbeat": "1500ms",
		"Bounds.Grace": "6s", "Bounds.Config": "2000ms", "Bounds.StabilityWindow": "3000ms", "Bounds.BudgetRatio": "0.2",
	}
}

var (
	templateSection = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)(\|json)?\}\}`)
	deployRun       = regexp.MustCompile(`(?m)^run *= *"([^"]+)"`)
)

// render fills in the settings template of the deploy file.
func render(template string, fields map[string]string) string {
	template = templateSection.ReplaceAllStringFunc(template, func(section string) string {
		parts := templateSection.FindStringSubmatch(section)
		if (parts[1] == "#") != (fields[parts[2]] != "") {
			return ""
		}
		return parts[3]
	})
	return templateValue.ReplaceAllStringFunc(template, func(placeholder string) string {
		field, quoted := strings.CutSuffix(strings.Trim(placeholder, "{}"), "|json")
		if !quoted {
			return fields[field]
		}
		text, _ := json.Marshal(fields[field]) // a string can be encoded
		return string(text)
	})
}

// nodeProcess is the node of a machine.
type nodeProcess struct {
	machine
	trial    *trial
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// startNode starts the node of a machine with the command of the deploy file.
func (t *trial) startNode(m machine, store string) (*nodeProcess, error) {
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	n := &nodeProcess{machine: m, trial: t, settings: filepath.Join(t.dir, m.name+".yaml")}
	if err := os.WriteFile(n.settings, []byte(render(string(template), m.fields(store))), 0o600); err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.nodes = append(t.nodes, n)
	t.mu.Unlock()
	return n, n.start()
}

func (n *nodeProcess) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := deployRun.FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("the deploy file has no command")
	}
	words := strings.Fields(string(run[1]))
	log, err := os.OpenFile(filepath.Join(n.trial.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINEGATE_CONFIG=" + n.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = command.Wait(); close(exited) }()
	n.command, n.exited = command, exited
	n.trial.note("%s is started", n.name)
	return nil
}

// kill ends the process with SIGKILL.
func (n *nodeProcess) kill() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Signal(syscall.SIGKILL)
		<-n.exited
	}
}

// ready reports whether the node's readiness check succeeds.
func (n *nodeProcess) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ip + ":" + portReady + pathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
