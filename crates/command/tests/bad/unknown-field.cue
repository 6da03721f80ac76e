// expect: 3:20: unknown field lisen; did you mean listen?
router: {
	name: "r", lisen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
