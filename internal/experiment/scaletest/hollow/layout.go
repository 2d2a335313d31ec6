package hollow

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// key is the fleet's, of the measurement's own making.
const key = "this key is of a measurement and of nothing else"

// Ports for gateways lie below those that the system gives to connections that go out (from 32768
// on, ip(7)).
const portLeast, portMost = 20000, 32000

// reserve finds free ports on addresses of the loopback that are drawn, so that no other fleet on
// this machine has them.
func reserve(n int) (list []string, err error) {
	for tries := 0; len(list) < n && tries < 64; tries++ {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		for port := portLeast; len(list) < n && port < portMost; port++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				continue // it is taken
			}
			ln.Close()
			list = append(list, ln.Addr().String())
		}
	}
	if len(list) < n {
		return nil, fmt.Errorf("%d ports of the loopback are not free", n)
	}
	return list, nil
}

// layout is the files of a fleet: of its relays first, where it has some, and then of its gateways.
type layout struct {
	Options
	names []string
	fleet []string // where they listen for one another; gateways of relays do not
	other []string // for clients and operators, two of each; only the program's own processes listen
	ends  map[netip.AddrPort]string
}

func newLayout(o Options) (*layout, error) {
	l := &layout{Options: o, ends: map[netip.AddrPort]string{}}
	for i := range o.Relays {
		l.names = append(l.names, fmt.Sprintf("r%d", i+1))
	}
	for i := range o.Gateways {
		l.names = append(l.names, fmt.Sprintf("g%d", i+1))
	}
	listen := len(l.names)
	if o.Relays > 0 {
		listen = o.Relays
	}
	ports, err := reserve(listen + 2*o.Real)
	if err != nil {
		return nil, err
	}
	l.fleet, l.other = ports[:listen], ports[listen:]
	if err := os.WriteFile(filepath.Join(o.Dir, "key"), []byte(key), 0o600); err != nil {
		return nil, err
	}
	for i, at := range l.fleet {
		l.ends[netip.MustParseAddrPort(at)] = l.names[i]
	}
	for i := range l.names {
		if err := os.WriteFile(l.file(i), []byte(l.text(i)), 0o600); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *layout) file(i int) string    { return filepath.Join(l.Dir, l.names[i]+".toml") }
func (l *layout) admin(i int) string   { return l.other[2*i+1] }
func (l *layout) dataDir(i int) string { return filepath.Join(l.Dir, l.names[i]) }

// Zones and regions over which relays and gateways are spread.
const zones, regions = 10, 3

func zoneOf(i int) (zone, region string) {
	return fmt.Sprintf("z%d", i%zones), fmt.Sprintf("region%d", i%zones%regions)
}

// serves is what the file of a gateway has for requests. Hollow ones listen nowhere.
func (l *layout) serves(b *strings.Builder, i int) {
	listen := "127.0.0.1:0"
	if i < l.Real {
		listen = l.other[2*i]
	}
	fmt.Fprintf(b, "[[listener]]\naddress = %q\n", listen)
	fmt.Fprintf(b, "[limits]\nsockets = %d\n", 2048+64*l.Pools)
	fmt.Fprint(b, "[[class]]\nname = \"all\"\neffect = \"safe\"\naim = \"2s\"\ndeadline = \"10s\"\nworth = 1\n")
	for k := range l.Pools {
		fmt.Fprintf(b, "[[pool]]\nname = \"p%d\"\ndiscovery = %q\n", k, l.Discovery)
	}
	for k := range l.Pools {
		fmt.Fprintf(b, "[[route]]\nname = \"r%d\"\npath = \"/p%d\"\npool = \"p%d\"\n", k, k, k)
	}
}

// text is the file of a gateway or relay.
func (l *layout) text(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\n", l.names[i])
	if i < l.Real {
		fmt.Fprintf(&b, "admin = %q\n", l.admin(i))
	}
	if i >= l.Relays {
		l.serves(&b, i)
	}
	var first []string
	for _, name := range l.names[:l.Keepers] {
		first = append(first, fmt.Sprintf("%q", name))
	}
	fmt.Fprintf(&b, "[fleet]\nid = \"scale\"\ndata_dir = %q\nkey_file = %q\nfirst = [%s]\n", l.dataDir(i), filepath.Join(l.Dir, "key"), strings.Join(first, ", "))
	if i < len(l.fleet) {
		fmt.Fprintf(&b, "listen = %q\n", l.fleet[i])
	}
	if l.Relays > 0 {
		if i >= l.Relays {
			zone, region := zoneOf(i - l.Relays)
			fmt.Fprintf(&b, "zone = %q\nregion = %q\n", zone, region)
		}
		for k, at := range l.fleet {
			zone, region := zoneOf(k)
			fmt.Fprintf(&b, "[[fleet.relay]]\nname = %q\naddress = %q\nzone = %q\nregion = %q\n", l.names[k], at, zone, region)
		}
		return b.String()
	}
	for k, at := range l.fleet {
		if k != i {
			fmt.Fprintf(&b, "[[fleet.peer]]\nname = %q\naddress = %q\n", l.names[k], at)
		}
	}
	return b.String()
}
