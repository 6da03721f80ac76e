// Random faults between the processes of a small fleet; another seed draws others: --draw SEED.
day: {
	note:    "cuts, delays, kills, halts and wrong clocks as they come, several at once"
	seed:    9
	routers: 16
	cells:   3
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 5, does: {role: "reader"}},
		{name: "writer", kind: "writers", count: 8, does: {role: "writer"}},
	]
	tracks: [
		{name: "query", contract: 1s, cut_off: 4s},
		{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 5s, earnings: 3},
		{name: "note", repeat: "referenced", group: "cell", window: 3s, contract: 1500ms, cut_off: 5s, earnings: 2},
	]
	terms: {warm_after: 3s}
	load: {
		rate: 80, for: 10s, clients: 48, leaves: 3%, sluggish: 1, uneven: {part: 20%, times: 4}
		traffic: [{track: "query", part: 3}, {track: "lodge"}, {track: "note"}]
	}
	faults: {draw: 12, seed: 1, from: 1s, until: 8s, longest: 3s}
	expect: {memory: 64MiB}
}
