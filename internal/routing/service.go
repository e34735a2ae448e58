package routing

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// HealthPath answers 200 while a server of the service is healthy.
	HealthPath string
	// MaxConnections bounds the connections to one server.
	MaxConnections int
}
