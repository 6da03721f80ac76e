// The smallest day: one client, one router, one reader, one writer.
day: {
	routers: 1, cells: 1, zones: 1
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 1, does: {role: "reader"}},
		{name: "writer", kind: "writers", count: 1, does: {role: "writer"}},
	]
	tracks: [{name: "quick", contract: 1s, cut_off: 4s}]
	terms: {}
	load: {rate: 5, for: 3s, clients: 1, traffic: [{track: "quick"}]}
	expect: {service: 90%, honoured: 90%}
}
