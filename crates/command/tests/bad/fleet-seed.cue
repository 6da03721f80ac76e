// expect: 6:61: "next door" is not an IPv4 address with a port; expected one like 127.0.0.1:7000
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "readers", role: "reader"}]
	fleet: {name: "harbour", listen: "127.0.0.1:7201", seeds: ["next door"], key: "0101010101010101010101010101010101010101010101010101010101010101"}
	terms: {}
}
