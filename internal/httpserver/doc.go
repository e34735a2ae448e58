// Package httpserver serves HTTP/1.1 on a port of a node. When it ends, each connection
// is either refused or its request is handled, so that no request is read without a
// response.
//
// It owns the open connections of its sockets.
package httpserver
