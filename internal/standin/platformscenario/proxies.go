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
func startProxies(at proxyAddresses, gate, store, server string) (Proxies, error) {
	var p Proxies
	var err error
	for _, each := range []struct {
		proxy           **faultproxy.Proxy
		address, target string
	}{{&p.Inbound, at.Inbound, gate}, {&p.Store, at.Store, store}, {&p.Server, at.Server, server}} {
		if *each.proxy, err = faultproxy.Start(each.address, each.target); err != nil {
			p.close()
			return Proxies{}, err
		}
	}
	return p, nil
}
