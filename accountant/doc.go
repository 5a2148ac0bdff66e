// Package accountant decides what client accounts may do: which account a call belongs
// to, and what the account may have running. It has no input or output.
package accountant
