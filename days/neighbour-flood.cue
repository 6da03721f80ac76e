// Three calm tenants beside one that floods with twenty times its traffic for ten seconds, while a quarter of the
// workers is cold. 'shares: false' plays the same day with nobody's share kept.
day: {
	seed:    31
	routers: 2
	cells:   2
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 4, does: {role: "reader", reads_at_once: 4, read_rate: 12000}},
		{name: "writer", kind: "writers", count: 8, does: {role: "writer", streams_at_once: 12}},
	]
	tracks: [
		{name: "query", contract: 1s, cut_off: 4s},
		{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
	]
	tenants: [
		{name: "harbour"}, {name: "market"}, {name: "school", weight: 0.5},
		{name: "statements"},
	]
	terms: {warm_after: 6s}
	lag: 200ms
	load: {
		rate: 80, for: 16s, clients: 24
		retries: 4
		traffic: [
			{track: "query", tenant: "harbour", part: 3}, {track: "lodge", tenant: "harbour"},
			{track: "query", tenant: "market", part: 3}, {track: "lodge", tenant: "market"},
			{track: "query", tenant: "school", part: 2},
			{track: "query", tenant: "statements", part: 4, adds: {least: 200, most: 800}},
		]
	}
	troubles: [
		{at: 3s, do: "kill", who: ["reader0", "writer0", "writer4"], back: 500ms},
		{at: 4s, do: "burst", for: 10s, times: 20, tenant: "statements"},
	]
	expect: {memory: 256MiB}
}
