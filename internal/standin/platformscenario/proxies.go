package platformscenario

import "rosemaryladder.dev/rosemaryladder/internal/standin/faultproxy"

// Proxies stand between a sidecar and its peers, the store and its backend server.
type Proxies struct {
	Gate, Store, Server *faultproxy.Proxy
}

func (p Proxies) close() {
	for _, proxy := range []*faultproxy.Proxy{p.Gate, p.Store, p.Server} {
		if proxy != nil {
			proxy.Close()
		}
	}
}

// startProxies starts a proxy before each target.
func startProxies(ip, gate, store, server string) (Proxies, error) {
	var p Proxies
	var err error
	for _, each := range []struct {
		proxy  **faultproxy.Proxy
		target string
	}{{&p.Gate, gate}, {&p.Store, store}, {&p.Server, server}} {
		if *each.proxy, err = faultproxy.Start(ip+":0", each.target); err != nil {
			p.close()
			return Proxies{}, err
		}
	}
	return p, nil
}
