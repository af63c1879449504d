package fleet

import (
	"os"
	"path/filepath"

	"gopkg.in/yaml.v3"
)

// fileSettings are the keys that a fleet writes; NodeArgs give others.
type fileSettings struct {
	Node     nodeSettings     `yaml:"node"`
	Platform platformSettings `yaml:"platform"`
}

type nodeSettings struct {
	ID             string         `yaml:"id"`
	Domain         string         `yaml:"domain"`
	CallersAddress string         `yaml:"callers_address"`
	AdminAddress   string         `yaml:"admin_address"`
	ControlAddress string         `yaml:"control_address"`
	CallsAddress   string         `yaml:"calls_address"`
	ControlRelay   string         `yaml:"control_advertise_address,omitempty"`
	CallsRelay     string         `yaml:"calls_advertise_address,omitempty"`
	Seeds          []seedSettings `yaml:"seeds,omitempty"`
	Seed           uint64         `yaml:"seed"`
}

type seedSettings struct {
	ID             string `yaml:"id"`
	Domain         string `yaml:"domain"`
	ControlAddress string `yaml:"control_address"`
}

type platformSettings struct {
	URL string `yaml:"url"`
}

func (n *Node) settings(platformURL string, seeds []*Node) fileSettings {
	settings := fileSettings{
		Node: nodeSettings{
			ID:             n.ID,
			Domain:         n.Domain,
			CallersAddress: n.CallersAddress,
			AdminAddress:   n.AdminAddress,
			ControlAddress: n.ControlAddress,
			CallsAddress:   n.CallsAddress,
			Seed:           uint64(n.index) + 1,
		},
		Platform: platformSettings{URL: platformURL},
	}
	if n.relays != nil {
		settings.Node.ControlRelay = n.relays.control.Address()
		settings.Node.CallsRelay = n.relays.calls.Address()
	}
	for _, seed := range seeds {
		if seed == n {
			continue
		}
		settings.Node.Seeds = append(settings.Node.Seeds, seedSettings{
			ID:             seed.ID,
			Domain:         seed.Domain,
			ControlAddress: seed.AdvertisedControlAddress(),
		})
	}
	return settings
}

// announcedControl is the control address that other nodes connect to.
func (n *Node) AdvertisedControlAddress() string {
	if n.relays != nil {
		return n.relays.control.Address()
	}
	return n.ControlAddress
}

// SettingsPath is the file of the node's settings.
func (n *Node) SettingsPath() string { return n.settingsPath }

// writeSettings writes the node's file.
func (n *Node) writeSettings(dir, platformURL string, seeds []*Node) error {
	data, err := yaml.Marshal(n.settings(platformURL, seeds))
	if err != nil {
		return err
	}
	n.settingsPath = filepath.Join(dir, n.ID+".yaml")
	return os.WriteFile(n.settingsPath, data, 0o600)
}
