// A busy tenant is removed while its submissions wait, are read and stream; the others go on as if nothing was.
// Played with --in-virtual-time.
day: {
	seed:    37
	routers: 2
	cells:   2
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 4, does: {role: "reader", reads_at_once: 6}},
		{name: "writer", kind: "writers", count: 8, does: {role: "writer", streams_at_once: 16}},
	]
	tracks: [
		{name: "query", contract: 1s, cut_off: 4s},
		{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
	]
	tenants: [{name: "stays"}, {name: "leaves"}]
	terms: {warm_after: 6s}
	load: {
		rate: 80, for: 8s, clients: 12
		traffic: [
			{track: "query", tenant: "stays"}, {track: "lodge", tenant: "stays"},
			{track: "query", tenant: "leaves"}, {track: "lodge", tenant: "leaves"},
		]
	}
	troubles: [
		{at: 3s, do: "burst", for: 3s, times: 3, tenant: "leaves"},
		{at: 4s, do: "remove", who: ["leaves"]},
	]
	expect: {}
}
