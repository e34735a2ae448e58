package result

import "slices"

var entries = []Entry{
	{OK, "ok", "The command succeeded.", "Nothing."},
	{Internal, "internal", "An unexpected error occurred.", "Report it with the message and the log of the node."},
	{Usage, "usage", "The command line is wrong.", "Run the command with --help."},
	{SettingsUnreadable, "settings-unreadable", "The settings file cannot be read or parsed.", "Check the path and the syntax of the named line."},
	{SettingsUnknownKey, "settings-unknown-key", "The settings file holds an unknown section or key.", "Remove or correct the named key."},
	{SettingsInvalid, "settings-invalid", "A settings key has an invalid value.", "Correct the named key."},
	{TargetInvalid, "target-invalid", "A target has an invalid value.", "Correct the named key of the named target."},
	{TargetUnknownKey, "target-unknown-key", "A target file holds an unknown section or key.", "Remove or correct the named key."},
	{TargetContradiction, "target-contradiction", "Two targets of a service match the same calls.", "Change the methods or the path of one of the named targets."},
	{ObjectiveImpossible, "objective-impossible", "A target states an objective that cannot be met.", "Change the named key as the message says."},
	{DocumentTooLarge, "document-too-large", "The configuration would exceed the size limit of the store.", "Delete targets or stops that are no longer needed."},
	{VersionConflict, "version-conflict", "Another operator changed the configuration first.", "Read the current version, then repeat the change."},
	{ChangeOutcomeUnknown, "change-outcome-unknown", "The store did not answer and it is not known whether the change was accepted.", "Ask again with the named change id."},
	{NotFound, "not-found", "The named object does not exist.", "List the objects and check the name."},
	{StopInvalid, "stop-invalid", "A planned stop has an invalid value.", "Correct the named key."},
	{NotInForce, "not-in-force", "The version was accepted but is not in force on every node in the given time.", "Run status to see which nodes lag and why."},
	{DocumentInvalid, "document-invalid", "A configuration document cannot be accepted; the previous one stays in force.", "Run status for the reason, then apply a corrected version."},
	{StoreUnavailable, "store-unavailable", "The store does not answer; nothing was accepted.", "Wait until the store is back, then repeat."},
	{StoreConflict, "store-conflict", "The stored value has another revision than expected.", "Read the value again, then repeat."},
	{StoreValueTooLarge, "store-value-too-large", "A value exceeds the size limit of the store.", "Reduce the value."},
	{NodeUnreachable, "node-unreachable", "The node does not answer.", "Check the address or name another node."},
	{NodeNotReady, "node-not-ready", "The node does not yet know the newest configuration.", "Retry, or use another node."},
	{NoTarget, "no-target", "No target matches the call.", "Declare a target whose service, methods and path match."},
	{NoServer, "no-server", "No backend server of the service can take the call.", "Retry later; operators: run explain target."},
	{Overloaded, "overloaded", "The service has no capacity for the call within its deadline.", "Retry later with backoff."},
	{DeadlineNotRun, "deadline-not-run", "The deadline passed before the call was handed to a backend server.", "Retry with a longer deadline."},
	{KeyRequired, "key-required", "A non-idempotent call has no Idempotency-Key.", "Send a unique key with each order and repeat the same key when repeating the order."},
	{ClaimUnavailable, "claim-unavailable", "The call could not be claimed because the store does not answer.", "Retry later with the same key."},
	{Quarantined, "quarantined", "Calls with this content stopped several backend servers and are refused for a limited time.", "Do not repeat the call; operators: run explain call."},
	{Draining, "draining", "The node or its backend server is leaving and takes no new work.", "Retry; another node will take the call."},
	{BodyTooLarge, "body-too-large", "The request exceeds a size limit.", "Reduce the request."},
	{ServerRefused, "server-refused", "The backend server refused the call without running it.", "Retry later with backoff."},
	{BadRequest, "bad-request", "The request is malformed.", "Correct the named header or path."},
	{KeyReused, "key-reused", "The Idempotency-Key was used before for another request.", "Use a new key for each different order."},
	{ServerGone, "server-gone", "The backend server refused the connection.", "Retry; another backend server will take the call."},
	{RequestTimeout, "request-timeout", "The request was not received completely within the time limit.", "Send the complete request within the limit."},
	{UnknownKey, "unknown-key", "The request carries no key of a workspace, and its route is not public.", "Send a valid key as Authorization: Bearer KEY."},
	{RateLimited, "rate-limited", "The workspace has used up its rate limit over all nodes.", "Retry after the time in Retry-After; operators: raise the limit of the workspace."},
	{KeysOutdated, "keys-outdated", "The node has had no confirmation of the store for so long that the key may have been withdrawn.", "Retry at another node; operators: see the freshness of the node and its way to the store."},
	{OutcomeUnknown, "outcome-unknown", "The call was handed to a backend server and no whole answer came back.", "Idempotent calls may be repeated. Repeat others only with the same key."},
	{RepeatUnknown, "repeat-unknown", "A call with this key was claimed before; its outcome is unknown and it was not run again.", "Check with the service whether the order exists."},
	{DeadlineUnknown, "deadline-unknown", "The deadline passed after the call was handed to a backend server.", "Idempotent calls may be repeated. Repeat others only with the same key."},
}

// Table returns the entries of all codes in numeric order.
func Table() []Entry {
	return slices.Clone(entries)
}

// Describe returns the entry of a code; an entry named "unknown" when the table
// has none.
func Describe(code Code) Entry {
	for _, entry := range entries {
		if entry.Code == code {
			return entry
		}
	}
	return Entry{Code: code, Name: "unknown", Meaning: "Unknown code.", Next: "Upgrade the tool."}
}
