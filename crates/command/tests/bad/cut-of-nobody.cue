// expect: 10:42: "router7-9" matches no process; expected a process, a group, a range of a group such as router0-9, list or load
day: {
	routers: 4
	kinds: [{name: "readers", role: "reader"}]
	fleet: [{name: "reader", kind: "readers", count: 2, does: {role: "reader"}}]
	tracks: [{name: "quick", contract: 1s}]
	terms: {}
	load: {traffic: [{track: "quick"}]}
	troubles: [
		{at: 1s, do: "cut", for: 1s, between: ["router7-9"], and: ["reader"]},
	]
	expect: {}
}
