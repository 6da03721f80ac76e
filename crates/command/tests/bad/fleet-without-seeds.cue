// expect: 6:60: the list has 0 elements; expected at least 1
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "readers", role: "reader"}]
	fleet: {name: "harbour", listen: "127.0.0.1:7201", seeds: [], key: "0101010101010101010101010101010101010101010101010101010101010101"}
	terms: {}
}
