// Package experiment measures the decision packages health, balance, retry and
// queue. It feeds them at their interfaces from the outcomes of fake backend
// servers, in one process and in virtual time, over several seeds, beside simpler
// policies that see the same outcomes.
//
// It has no network model and no instances that fail: it compares policies and
// does not predict the figures of a fleet.
package experiment
