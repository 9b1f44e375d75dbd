// Package quotadriver runs the shard replicas and the quota of one instance. It drives
// the state machines of packages shard and quota: it passes them the time and received
// messages, and sends the messages that they return over transport.Caller.
//
// The owner of a shard is the instance that holds its lease, or the leader of control if
// Config.ControlOwner is set. It lends tokens for the accounts of the shard to the
// ingresses.
//
// Service is a suture service. The ingress calls Acquire before it forwards a request,
// and MarkSpent or Return afterwards. Messages to one instance are batched, so the number
// of calls grows with the number of owners that an ingress talks to, not with the number
// of accounts.
package quotadriver
