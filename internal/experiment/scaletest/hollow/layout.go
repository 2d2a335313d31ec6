package hollow

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// fleetKey is the shared key of the fleets that are measured.
const fleetKey = "this key is of a measurement and of nothing else"

// Ports of members are below the range of ephemeral ports for outgoing connections, which begins at 32768 (ip(7)).
const (
	minPort = 20000
	maxPort = 32000 // exclusive
)

// maxReserveAttempts is the maximum number of loopback addresses on which free ports are searched.
const maxReserveAttempts = 64

// Numbers of zones and regions over which relays and gateways are spread.
const (
	zones   = 10
	regions = 3
)

// Parts of the socket limit in a gateway's configuration file: a base, plus a number for each pool.
const (
	baseSockets    = 2048
	socketsPerPool = 64
)

var errNoFreePorts = errors.New("too few free ports on the loopback interface")

// reserveAddresses finds addresses with free ports. Their IP addresses are drawn at random from the loopback network,
// so that fleets running at the same time don't collide.
func reserveAddresses(count int) ([]string, error) {
	var list []string
	for attempt := 0; len(list) < count && attempt < maxReserveAttempts; attempt++ {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		list = append(list, freeAddresses(host, count-len(list))...)
	}
	if len(list) < count {
		return nil, fmt.Errorf("reserve %d addresses: %w", count, errNoFreePorts)
	}
	return list, nil
}

// freeAddresses returns addresses of a host whose ports are free, up to a limit.
func freeAddresses(host string, limit int) []string {
	var list []string
	for port := minPort; len(list) < limit && port < maxPort; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue // the port is taken
		}
		listener.Close()
		list = append(list, listener.Addr().String())
	}
	return list
}

// layout determines the names, addresses and files of a fleet's members: its relays, if it has any, followed by its
// gateways.
type layout struct {
	options Options
	names   []string
	// peerAddresses are the addresses on which members accept connections from other members, by member. In a fleet
	// with relays, gateways accept none.
	peerAddresses []string
	peers         map[netip.AddrPort]bool // set of peerAddresses
	// clientAddresses and adminAddresses are the listen addresses of the processes of the program, by member.
	clientAddresses, adminAddresses []string
}

// newLayout reserves the addresses and writes the configuration files.
func newLayout(o Options) (*layout, error) {
	l := &layout{options: o, peers: map[netip.AddrPort]bool{}}
	for i := range o.Relays {
		l.names = append(l.names, fmt.Sprintf("r%d", i+1))
	}
	for i := range o.Gateways {
		l.names = append(l.names, fmt.Sprintf("g%d", i+1))
	}
	if err := l.reserve(); err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.keyFile(), []byte(fleetKey), 0o600); err != nil {
		return nil, err
	}
	for i := range l.names {
		if err := os.WriteFile(l.file(i), []byte(l.configuration(i)), 0o600); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// reserve reserves the addresses of all members.
func (l *layout) reserve() error {
	peers := len(l.names)
	if l.options.Relays > 0 {
		peers = l.options.Relays
	}
	addresses, err := reserveAddresses(peers + 2*l.options.RealMembers)
	if err != nil {
		return err
	}
	l.peerAddresses = addresses[:peers]
	for _, address := range l.peerAddresses {
		l.peers[netip.MustParseAddrPort(address)] = true
	}
	for i := range l.options.RealMembers {
		l.clientAddresses = append(l.clientAddresses, addresses[peers+2*i])
		l.adminAddresses = append(l.adminAddresses, addresses[peers+2*i+1])
	}
	return nil
}

func (l *layout) file(member int) string {
	return filepath.Join(l.options.Dir, l.names[member]+".toml")
}
func (l *layout) dataDir(member int) string      { return filepath.Join(l.options.Dir, l.names[member]) }
func (l *layout) keyFile() string                { return filepath.Join(l.options.Dir, "key") }
func (l *layout) adminAddress(member int) string { return l.adminAddresses[member] }
func (l *layout) isProgram(member int) bool      { return member < l.options.RealMembers }
func (l *layout) isRelay(member int) bool        { return member < l.options.Relays }

// location returns the zone and the region of a relay or gateway, from its number among the relays or the gateways.
func location(number int) (zone, region string) {
	zoneNumber := number % zones
	return fmt.Sprintf("z%d", zoneNumber), fmt.Sprintf("region%d", zoneNumber%regions)
}

// configuration returns the content of a member's configuration file.
func (l *layout) configuration(member int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\n", l.names[member])
	if l.isProgram(member) {
		fmt.Fprintf(&b, "admin = %q\n", l.adminAddress(member))
	}
	if !l.isRelay(member) {
		l.writeServing(&b, member)
	}
	l.writeFleet(&b, member)
	if l.options.Relays > 0 {
		l.writeRelays(&b, member)
	} else {
		l.writePeers(&b, member)
	}
	return b.String()
}

// writeServing writes the part of a gateway's file that configures the handling of requests. Hollow gateways don't
// use the listener.
func (l *layout) writeServing(b *strings.Builder, member int) {
	listen := "127.0.0.1:0"
	if l.isProgram(member) {
		listen = l.clientAddresses[member]
	}
	fmt.Fprintf(b, "[[listener]]\naddress = %q\n", listen)
	fmt.Fprintf(b, "[limits]\nsockets = %d\n", baseSockets+socketsPerPool*l.options.Pools)
	b.WriteString("[[class]]\nname = \"all\"\neffect = \"safe\"\naim = \"2s\"\ndeadline = \"10s\"\nworth = 1\n")
	for pool := range l.options.Pools {
		fmt.Fprintf(b, "[[pool]]\nname = \"p%d\"\ndiscovery = %q\n", pool, l.options.DiscoveryAddress)
	}
	for pool := range l.options.Pools {
		fmt.Fprintf(b, "[[route]]\nname = \"r%d\"\npath = \"/p%d\"\npool = \"p%d\"\n", pool, pool, pool)
	}
}

// writeFleet writes the fleet table without the lists of relays or peers.
func (l *layout) writeFleet(b *strings.Builder, member int) {
	var replicas []string
	for _, name := range l.names[:l.options.BootstrapReplicas] {
		replicas = append(replicas, fmt.Sprintf("%q", name))
	}
	b.WriteString("[fleet]\nid = \"scale\"\n")
	fmt.Fprintf(b, "data_dir = %q\n", l.dataDir(member))
	fmt.Fprintf(b, "key_file = %q\n", l.keyFile())
	fmt.Fprintf(b, "first = [%s]\n", strings.Join(replicas, ", "))
	if member < len(l.peerAddresses) {
		fmt.Fprintf(b, "listen = %q\n", l.peerAddresses[member])
	}
}

// writeRelays writes the location of a gateway and the list of relays.
func (l *layout) writeRelays(b *strings.Builder, member int) {
	if !l.isRelay(member) {
		zone, region := location(member - l.options.Relays)
		fmt.Fprintf(b, "zone = %q\nregion = %q\n", zone, region)
	}
	for relay, address := range l.peerAddresses {
		zone, region := location(relay)
		fmt.Fprintf(b, "[[fleet.relay]]\nname = %q\naddress = %q\nzone = %q\nregion = %q\n", l.names[relay], address, zone, region)
	}
}

// writePeers writes the list of the other gateways, in a fleet without relays.
func (l *layout) writePeers(b *strings.Builder, member int) {
	for peer, address := range l.peerAddresses {
		if peer != member {
			fmt.Fprintf(b, "[[fleet.peer]]\nname = %q\naddress = %q\n", l.names[peer], address)
		}
	}
}
