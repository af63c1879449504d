// Package examples holds reference settings and tickets for two sites. Its
// tests check that each settings file loads and each ticket is accepted.
package examples

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/protocol/ticketfile"
	"jasminegate/internal/state"
)

// deploymentSize is the expected size of the reference deployment of one site.
// slots and connections are those of each upstream.
type deploymentSize struct {
	domains     int
	upstreams   map[string]int
	slots       int
	connections int
}

var sites = map[string]deploymentSize{
	"teranga":   {3, map[string]int{"fiches-web": 3, "depot-regl": 3, "fonds-docs": 5}, 20, 110},
	"coulisses": {4, map[string]int{"rider-view": 4, "order-desk": 4, "stock-book": 4}, 6, 120},
}

func TestSettingsOfEveryNode(t *testing.T) {
	for site, size := range sites {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(site, "node.yaml")
			header, rows := readNodes(t, site)
			upstreams := make(map[string]int)
			nodes := make(map[string]config.Node)
			domains := make(map[string]bool)
			addresses := make(map[string]bool)
			for i, row := range rows {
				settings, err := config.Load(path, overridesOfRow(header, row)...)
				is.NoErr(err)
				if i == 0 {
					unchanged, err := config.Load(path)
					is.NoErr(err)
					is.Equal(unchanged, settings) // the file has the settings of the first node
				}
				upstreams[row[0]]++
				nodes[settings.Node.ID] = settings.Node
				domains[settings.Node.Domain] = true
				for _, address := range []string{settings.Node.CallersAddress, settings.Node.AdminAddress, settings.Node.ControlAddress, settings.Node.CallsAddress} {
					is.True(!addresses[address]) // addresses are unique
					addresses[address] = true
				}
			}
			is.Equal(upstreams, size.upstreams)
			is.Equal(len(nodes), len(rows)) // ids are unique
			is.Equal(len(domains), size.domains)
			checkSeeds(t, nodes, size.domains)
		})
	}
}

// checkSeeds checks that every seed is one of the nodes, with the same domain
// and control address, and that each failure domain has a seed.
func checkSeeds(t *testing.T, nodes map[string]config.Node, domains int) {
	is := is.New(t)
	seeded := make(map[string]bool)
	for _, node := range nodes {
		for _, seed := range node.Seeds {
			is.Equal(seed.Domain, nodes[seed.ID].Domain)
			is.Equal(seed.ControlAddress, nodes[seed.ID].ControlAddress)
			seeded[seed.Domain] = true
		}
	}
	is.Equal(len(seeded), domains)
}

func TestTicketsAreAcceptedInOrder(t *testing.T) {
	for site, size := range sites {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob(filepath.Join(site, "tickets", "*.yaml"))
			is.NoErr(err)
			is.True(len(files) >= 3)
			fold := acceptance.New()
			for i, file := range files {
				ticket, err := ticketfile.Load(file)
				is.NoErr(err)
				is.Equal(ticket.Number, uint64(i+1)) // file names follow the numbers
				data, err := ticket.Encode()
				is.NoErr(err)
				result, done, err := fold.Apply(int64(i), data)
				is.NoErr(err)
				is.True(done)
				is.Equal(result.Verdict.Reason, "")
				is.Equal(result.Verdict.Outcome, acceptance.Accepted)
				checkServices(t, fold.Snapshot(), size)
			}
		})
	}
}

func checkServices(t *testing.T, snapshot *state.Snapshot, size deploymentSize) {
	is := is.New(t)
	for name := range size.upstreams {
		service, ok := snapshot.Service(name)
		is.True(ok)
		is.Equal(service.Slots, size.slots)
		is.Equal(service.Connections, size.connections)
	}
}

func readNodes(t *testing.T, site string) (header []string, rows [][]string) {
	is := is.New(t)
	file, err := os.Open(filepath.Join(site, "nodes.csv"))
	is.NoErr(err)
	defer file.Close()
	all, err := csv.NewReader(file).ReadAll()
	is.NoErr(err)
	return all[0], all[1:]
}

// overridesOfRow returns a settings override for each column but the first, the
// service.
func overridesOfRow(header, row []string) []config.Override {
	var overrides []config.Override
	for i, key := range header[1:] {
		overrides = append(overrides, config.Override{Key: key, Value: row[i+1], Source: "nodes.csv"})
	}
	return overrides
}
