// Package quotadriver runs the shard groups and the quota of one instance: it
// gives package shard and package quota the time and the messages, and sends what
// they return over transport.Caller.
//
// Service is a suture service. The ingress calls Acquire before it sends a request
// on, and MarkSpent or Return afterwards. Messages to one instance travel together:
// their number grows with the owners that an ingress talks to, not with the
// accounts.
package quotadriver
