// Package settings reads the INI file of a hemlockd process and checks it.
//
// Every fault is reported at once, with file, section, key and remedy. Unknown
// sections and keys are faults, since a misspelt key would otherwise silently
// leave its default in force.
package settings
