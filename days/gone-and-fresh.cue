// Workers that go, drain and come fresh under 1,000 submissions a second, on one router of four cores.
day: {
	seed:    19
	routers: 1
	cores:   4
	cells:   4
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 8, does: {role: "reader", reads_at_once: 12, read_rate: 40000}},
		{name: "writer", kind: "writers", count: 16, does: {role: "writer", streams_at_once: 32, token_gap: 20ms}},
	]
	tracks: [
		{name: "query", contract: 1s, cut_off: 4s},
		{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
	]
	terms: {warm_after: 8s}
	lag: 200ms
	load: {
		rate: 1000, for: 15s, clients: 64
		traffic: [
			{track: "query", part: 4, adds: {least: 40, most: 160}, text_tokens: {least: 200, most: 500}, answer: {least: 8, most: 20}},
			{track: "lodge", part: 1, shared: 10%, adds: {least: 100, most: 300}, answer: {least: 8, most: 20}},
		]
	}
	troubles: [
		{at: 2s, do: "kill", who: ["writer0", "writer5", "reader3"], back: 1s},
		{at: 4s, do: "drain", who: ["writer1", "writer6", "reader0"], for: 2s},
		{at: 6s, do: "kill", who: ["writer2", "writer7", "writer12"], back: 500ms},
		{at: 8s, do: "burst", for: 2s, times: 1.5},
		{at: 9s, do: "drain", who: ["writer3", "writer8"], for: 1s},
		{at: 11s, do: "kill", who: ["writer4", "reader5"], back: 1s},
	]
	expect: {service: 60%, honoured: 80%, memory: 256MiB}
}
