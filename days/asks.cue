// A small fleet whose routers ask readers how much they have: some tens of processes in place of some hundreds.
day: {
	note:    "nothing goes wrong; readers are half busy and no router sees more than two submissions a second"
	seed:    21
	routers: 36
	cells:   4
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 10, does: {role: "reader", reads_at_once: 4, read_rate: 5000}},
		{name: "writer", kind: "writers", count: 16, does: {role: "writer", streams_at_once: 8, token_gap: 25ms}},
	]
	tracks: [
		{name: "member-query", contract: 1s, cut_off: 4s, earnings: 1},
		{name: "schedule-lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
		{name: "statement-note", repeat: "referenced", group: "cell", window: 3s, contract: 1500ms, cut_off: 5s, earnings: 2},
	]
	terms: {warm_after: 8s, asks: true}
	lag: 300ms
	load: {
		rate: 85, for: 15s, clients: 150, leaves: 1%
		traffic: [
			{track: "member-query", part: 6},
			{track: "schedule-lodge", part: 2, shared: 10%, adds: {least: 400, most: 1200}},
			{track: "statement-note", part: 2, answer: {least: 30, most: 70}},
		]
	}
	expect: {service: 90%, honoured: 95%, memory: 64MiB}
}
