// Package hoster runs entry and control processes on the users' platform: it
// connects the product's packages with the platform's API.
package hoster
