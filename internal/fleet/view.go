package fleet

// View is an immutable list of the nodes by service.
type View struct {
	entries  []Entry
	services map[string][]Entry
}

func newView(entries []Entry) *View {
	view := &View{entries: entries, services: make(map[string][]Entry)}
	for _, entry := range entries {
		if entry.State == Ready {
			view.services[entry.Service] = append(view.services[entry.Service], entry)
		}
	}
	return view
}

// Ready returns the nodes whose server is ready to run requests of a service.
func (v *View) Ready(service string) []Entry { return v.services[service] }

// Entries returns all nodes.
func (v *View) Entries() []Entry { return v.entries }
