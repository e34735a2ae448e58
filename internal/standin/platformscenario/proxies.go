package platformscenario

import "rosemaryladder.dev/rosemaryladder/internal/standin/faultproxy"

// Proxies stand between a sidecar and its peers, the store and its backend server.
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

// proxyAddresses are the addresses of the proxies themselves.
type proxyAddresses struct{ Inbound, Store, Server string }

// startProxies starts a proxy before each target.
func startProxies(listen proxyAddresses, gate, store, server string) (Proxies, error) {
	var p Proxies
	var err error
	for _, entry := range []struct {
		proxy           **faultproxy.Proxy
		address, target string
	}{{&p.Inbound, listen.Inbound, gate}, {&p.Store, listen.Store, store}, {&p.Server, listen.Server, server}} {
		if *entry.proxy, err = faultproxy.Start(entry.address, entry.target); err != nil {
			p.close()
			return Proxies{}, err
		}
	}
	return p, nil
}
