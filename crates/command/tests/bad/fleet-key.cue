// expect: 6:85: a hash of 6 characters; expected 64 hexadecimal digits
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "readers", role: "reader"}]
	fleet: {name: "harbour", listen: "127.0.0.1:7201", seeds: ["127.0.0.1:7201"], key: "secret"}
	terms: {}
}
