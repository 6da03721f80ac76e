// Load for 'measure cores': workers that are never the limit and short answers, so that routers are.
day: {
	seed:    23
	routers: 1
	cells:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 3, does: {role: "reader", reads_at_once: 500, read_rate: 2000000}},
		{name: "writer", kind: "writers", count: 3, does: {role: "writer", streams_at_once: 1000, token_gap: 10ms}},
	]
	tracks: [
		{name: "query", contract: 1s, cut_off: 4s},
		{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
	]
	terms: {warm_after: 1s}
	load: {
		rate: 1000, for: 5s, clients: 64
		traffic: [
			{track: "query", part: 4, adds: {least: 20, most: 60}, text_tokens: {least: 50, most: 100}, answer: {least: 4, most: 8}},
			{track: "lodge", part: 1, shared: 10%, adds: {least: 20, most: 60}, answer: {least: 4, most: 8}},
		]
	}
	expect: {service: 90%}
}
