// Package fleet starts complete deployments as separate processes on loopback
// addresses: the store stand-in, the link stand-in, and a daemon with a backend
// server for each instance. The demo, the measurements and the scenarios use it.
package fleet

import "fmt"

// Class is the kind of calls that a service serves.
type Class string

// The classes of the two deployments.
const (
	Lookup   Class = "lookup"
	Order    Class = "order"
	Download Class = "download"
)

// Service is one service of a deployment.
type Service struct {
	Name      string
	Class     Class
	Instances int
}

// Deployment is one user's deployment.
type Deployment struct {
	Name        string
	StoreRegion string
	// Regions holds the failure domains by region, the store's region first.
	Regions     []Region
	Services    []Service
	Slots       int
	Connections int
}

// Region is a region with its failure domains.
type Region struct {
	Name    string
	Domains []string
}

// Flaggsyeri returns the deployment of Statens Flaggsyeri.
func Flaggsyeri() Deployment {
	return Deployment{
		Name:        "flaggsyeri",
		StoreRegion: "trondelag",
		Regions: []Region{
			{"trondelag", []string{"trd-hall", "trd-annex"}},
			{"vestland", []string{"bgo-depot", "svg-depot"}},
		},
		Services: []Service{
			{"pattern-reg", Lookup, 5}, {"orderdesk", Order, 4}, {"templatevault", Download, 4},
		},
		Slots:       6,
		Connections: 130,
	}
}

// Dalhems returns the deployment of Dalhems Golvuthyrning.
func Dalhems() Deployment {
	return Deployment{
		Name:        "dalhems",
		StoreRegion: "svealand",
		Regions: []Region{
			{"svealand", []string{"svealand-a", "svealand-b"}},
			{"gotaland", []string{"gotaland-a", "gotaland-b"}},
		},
		Services: []Service{
			{"katalog", Lookup, 5}, {"bokning", Order, 4}, {"ritning", Download, 4},
		},
		Slots:       9,
		Connections: 120,
	}
}

// ByName returns the deployment of a name, or an error if there is none.
func ByName(name string) (Deployment, error) {
	for _, deployment := range []Deployment{Flaggsyeri(), Dalhems()} {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q; use flaggsyeri or dalhems", name)
}

// Scaled returns the deployment with the number of instances multiplied by factor.
func (d Deployment) Scaled(factor int) Deployment {
	services := make([]Service, len(d.Services))
	for i, service := range d.Services {
		service.Instances *= factor
		services[i] = service
	}
	d.Services = services
	return d
}

// Service returns the first service of a class. It panics if there is none.
func (d Deployment) Service(class Class) Service {
	for _, service := range d.Services {
		if service.Class == class {
			return service
		}
	}
	panic(fmt.Sprintf("deployment %s has no service of class %s", d.Name, class))
}

// placement is the host, region and failure domain of one instance.
type placement struct {
	name    string
	ip      string
	region  string
	domain  string
	service Service
}

// placements distributes the instances round robin over the failure domains.
// network is the second byte of the loopback addresses.
func (d Deployment) placements(network int) []placement {
	type location struct{ region, domain string }
	var locations []location
	for i := range d.Regions[0].Domains {
		for _, region := range d.Regions {
			locations = append(locations, location{region.Name, region.Domains[i]})
		}
	}
	var placements []placement
	for _, service := range d.Services {
		for i := range service.Instances {
			location := locations[len(placements)%len(locations)]
			domain := len(placements)%len(locations) + 1
			placements = append(placements, placement{
				name:    fmt.Sprintf("%s-%d", service.Name, i+1),
				ip:      fmt.Sprintf("127.%d.%d.%d", network, domain, len(placements)/len(locations)+1),
				region:  location.region,
				domain:  location.domain,
				service: service,
			})
		}
	}
	return placements
}
