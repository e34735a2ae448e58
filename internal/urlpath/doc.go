// Package urlpath decides which request targets are unambiguous and which route a path
// belongs to.
//
// A path is matched and forwarded as it was sent. A backend server may read it in
// another way: decode escapes, merge slashes, drop path parameters or resolve dot
// segments. A request is refused when such a reading belongs to another route, because
// the server could then run a non-idempotent request under the retries of an idempotent
// one. Equivalent paths of one route are forwarded.
package urlpath
