// A short twin of the bad day, for the tests: two routers, six workers, and a little of everything.
day: {
	seed: 3, routers: 2, cells: 2, zones: 2, lag: 100ms
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 2, does: {role: "reader"}},
		{name: "writer", kind: "writers", count: 4, does: {role: "writer"}},
	]
	tracks: [
		{name: "query", contract: 1s, cut_off: 4s},
		{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 5s, earnings: 3},
	]
	terms: {warm_after: 3s}
	load: {
		rate: 60, for: 6s, clients: 6, leaves: 3%, sluggish: 1, retries: 3
		traffic: [{track: "query", part: 3}, {track: "lodge"}]
	}
	troubles: [
		{at: 1s, do: "kill", who: ["writer1", "reader1"], back: 1s},
		{at: 2s, do: "silent", who: ["writer2"], for: 1s},
		{at: 3s, do: "drain", who: ["writer3"], for: 1s},
		{at: 4s, do: "kill", who: ["router1"], back: 500ms},
		{at: 4500ms, do: "halt", who: ["writer0"], for: 200ms},
	]
	expect: {service: 30%, honoured: 50%, memory: 128MiB}
}
