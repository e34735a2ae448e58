package proxy

import (
	"net/http"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

const (
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer "
)

// authorize finds the workspace of a request by its key, and removes the key and the
// workspace that the caller stated from the header. It returns a refusal for a request
// that needs a key and has none that is known.
func (o *outbound) authorize(c *call, header http.Header) *refusalReason {
	if !c.table.RequiresKeys() {
		return nil
	}
	credentials := header[headerAuthorization]
	delete(header, headerAuthorization)
	delete(header, o.deps.Headers.Workspace)
	c.request.priority = combinedPriority(nil, c.route.Priority)
	if c.route.Public {
		return nil
	}
	workspace, found := workspaceOf(c.table, credentials)
	if !found {
		return newRefusal(result.UnknownKey, "the request carries no key of a workspace, which its route requires")
	}
	if !o.deps.KeysConfirmed(c.table.Version()) {
		return newRefusal(result.KeysOutdated, "the store has not confirmed the keys for too long")
	}
	c.workspace, c.request.workspace = workspace, workspace.Name
	c.request.priority = combinedPriority(workspace, c.route.Priority)
	return o.admitWorkspace(c)
}

// admitWorkspace counts the request against the rate limit of its workspace, and refuses
// it beyond the limit.
func (o *outbound) admitWorkspace(c *call) *refusalReason {
	accepted, retryAfter := o.deps.Limiter.Admit(boottime.Now(), c.workspace, o.deps.View().Len())
	if !accepted {
		refusal := newRefusal(result.RateLimited, "workspace "+c.workspace.Name+" has used up its rate limit")
		refusal.retryAfter = retryAfter
		return refusal
	}
	c.counted = true
	return nil
}

// returnToWorkspace gives a request back to the rate limit that has not run.
func (o *outbound) returnToWorkspace(c *call, refusal *refusalReason) {
	if c.counted && refusal.notRun() {
		c.counted = false
		o.deps.Limiter.Return(c.workspace)
	}
}

// workspaceOf returns the workspace whose key the fields of the Authorization header
// hold. Several fields are refused, because it is unclear which of them counts.
func workspaceOf(table *routing.Table, credentials []string) (*routing.Workspace, bool) {
	if len(credentials) != 1 || len(credentials[0]) < len(bearerScheme) || !strings.EqualFold(credentials[0][:len(bearerScheme)], bearerScheme) {
		return nil, false
	}
	return table.Workspace(strings.TrimSpace(credentials[0][len(bearerScheme):]))
}

// priorityLevels is the number of route priorities that are told apart within one
// priority of a workspace.
const priorityLevels = 1000

// combinedPriority returns the priority of a request where the configuration has
// workspaces: the one of the workspace comes first, that of the route orders requests of
// the same. A request without a workspace, or whose workspace has no priority, ranks with
// the workspaces that have the priority of its route.
func combinedPriority(workspace *routing.Workspace, route int) int {
	first := route
	if workspace != nil && workspace.Priority != nil {
		first = *workspace.Priority
	}
	return min(first, priorityLevels)*priorityLevels + min(route, priorityLevels-1)
}
