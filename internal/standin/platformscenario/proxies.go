package platformscenario

import "rosemaryladder.dev/rosemaryladder/internal/standin/faultproxy"

// Proxies are the fault proxies between a sidecar and its peers, the store and its
// backend server.
type Proxies struct {
	Inbound, Store, Server *faultproxy.Proxy
}

func (p Proxies) close() {
	for _, proxy := range []*faultproxy.Proxy{p.Inbound, p.Store, p.Server} {
		if proxy != nil {
			proxy.Close()
		}
	}
}

// proxyAddresses are the addresses on which the proxies listen.
type proxyAddresses struct{ Inbound, Store, Server string }

// startProxies starts a proxy in front of each target address.
func startProxies(listen proxyAddresses, inbound, store, server string) (Proxies, error) {
	var p Proxies
	var err error
	for _, entry := range []struct {
		proxy           **faultproxy.Proxy
		address, target string
	}{{&p.Inbound, listen.Inbound, inbound}, {&p.Store, listen.Store, store}, {&p.Server, listen.Server, server}} {
		if *entry.proxy, err = faultproxy.Start(entry.address, entry.target); err != nil {
			p.close()
			return Proxies{}, err
		}
	}
	return p, nil
}
