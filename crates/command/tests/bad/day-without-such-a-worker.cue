// expect: 8:51: "writer7" cannot be a target of this fault; expected a worker's or a router's name
day: {
	kinds: [{name: "readers", role: "reader"}]
	fleet: [{name: "reader", kind: "readers", count: 1, does: {role: "reader"}}]
	tracks: [{name: "quick", contract: 1s}]
	terms: {}, expect: {}
	load: {traffic: [{track: "quick"}]}
	troubles: [{at: 1s, do: "kill", who: ["reader0", "writer7"]}]
}
