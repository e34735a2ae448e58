package routing

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path that responds with 200 while a server is healthy.
	HealthPath string
	// MaxConnections bounds the number of connections to one server.
	MaxConnections int
}
