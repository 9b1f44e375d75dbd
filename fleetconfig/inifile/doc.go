// Package inifile parses the operators' configuration file, which is an INI file, and
// converts it into changes of the document.
//
// The file defines all accounts, services and routes of the fleet:
//
//	[fleet]
//	preset = ordinary
//	holders = i1@192.0.2.1:7400@fd1, i2@192.0.2.2:7400@fd2
//
//	[account shop]
//	rate_per_second = 50
//	burst = 20
//
//	[service stock]
//	floor_percent = 60
//	cold_rate = 12
//	cold_start = 3s
//
//	[route lookups]
//	path_prefix = /stock
//	service = stock
//	timeout = 5s
//
//	[preset peak]
//	queue_length = 64
//	ejection_enabled = true
//
// Items that the file omits are removed, with these exceptions: keys, the shard map
// and the caller limits are never in the file and stay unchanged; the presets, the
// holders and the choice of the active preset stay unchanged if the file does not
// define them. Fields of an item that the file does not set get their default or zero,
// whatever the current document has. Fields that it has no key for stay unchanged.
//
// All faults are reported together, each with file, section, key and remedy.
package inifile
