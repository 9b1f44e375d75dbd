// Package inifile reads the operators' configuration file, an INI file, from
// bytes and turns it into changes of the document.
//
// The file states all accounts, services and routes of the fleet:
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
// What it leaves out is removed, with these exceptions: keys and the shard map
// are never in the file and stay as they are; presets stay when the file has none,
// and so do holders and the preset in force.
//
// All faults are reported at once with file, section, key and remedy.
package inifile
