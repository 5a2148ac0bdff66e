// Package supervisor manages the leases of placed tasks on the leader: it sends
// start and stop orders, renews leases when heartbeats arrive, and reports a
// task as ended only when it can no longer be running on its worker.
package supervisor
