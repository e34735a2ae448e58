package platformscenario

import (
	"fmt"
	"net/http"
	"strings"
)

const (
	// loadWorkspace is the workspace of the load of a keyed deployment, and loadKey its key.
	loadWorkspace = "load workspace"
	loadKey       = "key-of-the-load"
	// loadRateLimit is the rate limit of the workspace, far above any load.
	loadRateLimit = 1_000_000
	// publicPrefix begins the paths of the routes that need no key.
	publicPrefix = "/more-"
)

// setKey adds the key of the load to a request, and a workspace that the caller has no
// right to state.
func (d *Deployment) setKey(header http.Header) {
	if d.keyed {
		header.Set("Authorization", "Bearer "+loadKey)
		header.Set(workspaceHeader, "stated by the caller")
	}
}

const workspaceHeader = "X-Rosemaryladder-Tenant-Id"

// checkIdentity records a request that reached a backend server with a key or with another
// workspace than that of its key.
func (d *Deployment) checkIdentity(path string, header http.Header) {
	if !d.keyed {
		return
	}
	want := loadWorkspace
	if strings.HasPrefix(path, publicPrefix) {
		want = ""
	}
	if got := header.Get(workspaceHeader); got != want || header.Get("Authorization") != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.identityErrors = append(d.identityErrors, fmt.Sprintf("request %s of %s reached a server with workspace %q, want %q, key passed on: %t", header.Get("X-Rosemaryladder-Request-Id"), path, got, want, header.Get("Authorization") != ""))
	}
}
