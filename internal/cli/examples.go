package cli

// examples holds one example for each verb, which is printed below its help.
var examples = map[string]string{
	"":                "rosemaryladder status --node 127.20.1.1:7003 --node 127.20.2.1:7003",
	"target":          "rosemaryladder target list",
	"stop":            "rosemaryladder stop list",
	"explain":         "rosemaryladder explain host orderdesk-1",
	"report":          "rosemaryladder report burn",
	"target apply":    "rosemaryladder target apply -f targets.ini --dry-run",
	"target list":     "rosemaryladder target list --output json",
	"target show":     "rosemaryladder target show orders",
	"target delete":   "rosemaryladder target delete orders --if-version 12",
	"stop plan":       "rosemaryladder stop plan --host orderdesk-1 --at 10m --grace 2m --reason 'new kernel'",
	"stop list":       "rosemaryladder stop list",
	"stop cancel":     "rosemaryladder stop cancel night-shift --wait 5s",
	"status":          "rosemaryladder status --wait 5s",
	"explain host":    "rosemaryladder explain host orderdesk-1",
	"explain target":  "rosemaryladder explain target orders",
	"explain call":    "rosemaryladder explain call orderdesk-1-mx8nu5v6-7",
	"explain change":  "rosemaryladder explain change 7a0a9c5e-3f0e-4f6c-9d0f-0d7f0f3c0a11",
	"explain repairs": "rosemaryladder explain repairs --limit 20",
	"report burn":     "rosemaryladder report burn --html report.html",
}
