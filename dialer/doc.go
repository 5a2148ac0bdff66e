// Package dialer sends requests from an entry host to upstreams. Each call
// makes exactly one attempt, and each error has a kind of package classifier.
//
// It drives each connection itself with http.Request.Write and
// http.ReadResponse. http.Transport isn't used, since it resends a request by
// itself when a reused connection is lost before the answer, and gives no
// control over which connection a request takes.
//
// HTTP/1.1 doesn't say which request an answer belongs to. Each request
// therefore carries a token in the header modeler.RequestHeader. Connections
// are reused if the worker returns the token with every answer. To any other
// worker, each request takes a new connection, which is opened in advance after
// the previous request.
package dialer
