package link

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// Place is the region and failure domain of the addresses with a prefix.
type Place struct {
	Prefix         netip.Prefix
	Region, Domain string
}

// UnmarshalText decodes the form CIDR=REGION/DOMAIN.
func (p *Place) UnmarshalText(text []byte) error {
	prefix, names, _ := strings.Cut(string(text), "=")
	region, domain, found := strings.Cut(names, "/")
	parsed, err := netip.ParsePrefix(prefix)
	if err != nil || !found {
		return fmt.Errorf("place %q must be CIDR=REGION/DOMAIN", text)
	}
	*p = Place{Prefix: parsed, Region: region, Domain: domain}
	return nil
}

// Kind names the kind of traffic on a port.
type Kind struct {
	Port int
	Name string
}

// UnmarshalText decodes the form PORT=KIND.
func (k *Kind) UnmarshalText(text []byte) error {
	port, name, found := strings.Cut(string(text), "=")
	number, err := strconv.Atoi(port)
	if err != nil || !found {
		return fmt.Errorf("kind %q must be PORT=KIND", text)
	}
	*k = Kind{Port: number, Name: name}
	return nil
}
