// The whole fleet with faults between its processes, drawn from a seed, and a part of the routers much busier.
day: {
	note:    "cuts, delays, kills, halts and wrong clocks of up to four in ten of a group, several at once"
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
		rate: 270, for: 40s, clients: 1200, leaves: 1%, uneven: {part: 5%, times: 6}
		traffic: [
			{track: "member-query", part: 6},
			{track: "schedule-lodge", part: 2, shared: 10%, adds: {least: 400, most: 1200}},
			{track: "statement-note", part: 2, answer: {least: 30, most: 70}},
		]
	}
	faults: {draw: 20, seed: 1, from: 2s, until: 35s, longest: 4s}
	expect: {memory: 64MiB}
}
