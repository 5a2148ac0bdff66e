// Package linker connects two processes by a WebSocket that carries CBOR
// messages, and sends pings of its own to find a connection that has gone
// silent.
package linker
