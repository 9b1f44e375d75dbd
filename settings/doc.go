// Package settings reads and validates the INI file of a hemlockd process.
//
// All faults of a file are reported together, each with the file, the section, the key
// and the remedy. Unknown sections and keys are faults too, because a misspelt key
// would otherwise leave the default in effect without notice.
package settings
