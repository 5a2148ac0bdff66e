// Package replacer decides which tasks of a changed service are to be replaced
// next, so that at most a given number of them are out of service at a time.
package replacer
