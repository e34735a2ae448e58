// Package result defines the numbered result codes of rosemaryladder and the
// error type that carries one.
//
// It owns no state. A test compares its table with the one for users in
// docs/RESULT-CODES.md.
package result

// Code is a numbered result. It is the exit status of the operators' tool, so
// every value is in the range 0 to 125.
type Code int

// Codes of the process and the command line.
const (
	OK       Code = 0
	Internal Code = 1
	Usage    Code = 2
)

// Codes of reading settings.
const (
	SettingsUnreadable Code = 10
	SettingsUnknownKey Code = 11
	SettingsInvalid    Code = 12
)

// Codes of changing the configuration.
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

// Codes of the store and of other nodes.
const (
	StoreUnavailable   Code = 40
	StoreConflict      Code = 41
	StoreValueTooLarge Code = 42
	NodeUnreachable    Code = 43
	NodeNotReady       Code = 44
)

// Codes of refused calls, which no backend server executed.
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
	RequestTimeout   Code = 63
	UnknownKey       Code = 64
	RateLimited      Code = 65
	KeysOutdated     Code = 66
)

// Codes of calls whose outcome is unknown.
const (
	OutcomeUnknown  Code = 70
	RepeatUnknown   Code = 71
	DeadlineUnknown Code = 72
)
