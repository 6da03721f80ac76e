// The whole fleet with readers of two sizes, which the list tells.
day: {
	note:    "are the small ones overrun, or the large ones left idle"
	seed:    21
	routers: 300
	cells:   10
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "small", kind: "readers", count: 20, does: {role: "reader", size: 0.5, reads_at_once: 2, read_rate: 5000}},
		{name: "large", kind: "readers", count: 20, does: {role: "reader", size: 1.5, reads_at_once: 6, read_rate: 5000}},
		{name: "writer", kind: "writers", count: 60, does: {role: "writer", streams_at_once: 8, token_gap: 25ms}},
	]
	tracks: [
		{name: "member-query", contract: 1s, cut_off: 4s, earnings: 1},
		{name: "schedule-lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
		{name: "statement-note", repeat: "referenced", group: "cell", window: 3s, contract: 1500ms, cut_off: 5s, earnings: 2},
	]
	terms: {warm_after: 8s, asks: true}
	lag: 300ms
	load: {
		rate: 270, for: 30s, clients: 600, leaves: 1%
		traffic: [
			{track: "member-query", part: 6},
			{track: "schedule-lodge", part: 2, shared: 10%, adds: {least: 400, most: 1200}},
			{track: "statement-note", part: 2, answer: {least: 30, most: 70}},
		]
	}
	expect: {memory: 64MiB}
}
