package fleet

import (
	"net"
	"net/netip"
)

// originDomain implements relay.Classifier. It returns the failure domain of the
// node that opened the connection, which it finds by the remote IP address, or ""
// if that is no node of the fleet.
func (f *Fleet) originDomain(conn net.Conn) string {
	from := ipAddress(conn.RemoteAddr().String())
	for _, node := range f.Nodes {
		if ipAddress(node.ControlAddress) == from {
			return node.Domain
		}
	}
	return ""
}

func ipAddress(address string) netip.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr()
}
