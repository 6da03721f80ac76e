// One shared text takes about a third of the fleet's reads.
day: {
	note:    "a home that is too small for what wants it"
	seed:    21
	routers: 300
	cells:   10
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 40, does: {role: "reader", reads_at_once: 4, read_rate: 5000}},
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
			{track: "member-query", part: 3},
			{track: "member-query", part: 3, texts: 1, shared: 100%},
			{track: "schedule-lodge", part: 2, shared: 10%, adds: {least: 400, most: 1200}},
			{track: "statement-note", part: 2, answer: {least: 30, most: 70}},
		]
	}
	expect: {service: 30%, honoured: 50%, memory: 64MiB}
}
