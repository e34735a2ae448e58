// Package result holds the numbered result codes of rosemaryladder and the
// typed error that carries one.
//
// It owns no state. The table for users stands in docs/RESULT-CODES.md and a
// test keeps both equal.
package result

// Code is a numbered result. It is the exit status of the operators' tool, so
// every value lies between 0 and 125.
type Code int

// Results of the process and the command line.
const (
	OK       Code = 0
	Internal Code = 1
	Usage    Code = 2
)

// Results of reading settings.
const (
	SettingsUnreadable Code = 10
	SettingsUnknownKey Code = 11
	SettingsInvalid    Code = 12
)

// Results of changing the configuration.
const (
	TargetInvalid        Code = 20
	TargetUnknownKey     Code = 21
	TargetContradiction  Code = 22
	ObjectiveImpossible  Code = 23
	DocumentTooLarge     Code = 24
	VersionConflict      Code = 25
	ChangeOutcomeUnknown Code = 26
	NotFound             Code = 27
	StopInvalid          Code = 28
	NotInForce           Code = 29
	DocumentInvalid      Code = 30
)

// Results of the store and of other nodes.
const (
	StoreUnavailable   Code = 40
	StoreConflict      Code = 41
	StoreValueTooLarge Code = 42
	NodeUnreachable    Code = 43
	NodeNotReady       Code = 44
)

// Refusals of calls; nothing ran.
const (
	NoTarget         Code = 50
	NoServer         Code = 51
	Overloaded       Code = 52
	DeadlineNotRun   Code = 53
	KeyRequired      Code = 54
	ClaimUnavailable Code = 55
	Quarantined      Code = 56
	Draining         Code = 57
	BodyTooLarge     Code = 58
	ServerRefused    Code = 59
	BadRequest       Code = 60
	KeyReused        Code = 61
	ServerGone       Code = 62
)

// Calls whose outcome is unknown.
const (
	OutcomeUnknown  Code = 70
	RepeatUnknown   Code = 71
	DeadlineUnknown Code = 72
)
