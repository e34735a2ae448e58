package cli

import (
	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

func rowsOf(burn.Report, string) []burn.Row                 { return nil }
func serversOf([]operator.Member, string) []operator.Member { return nil }
func refusalsOf([]event.Event, config.Target) []event.Event { return nil }
func (c *command) printTarget(TargetExplanation)            {}
