// expect: 4:37: unknown unit sec; expected us, ms, s
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1sec}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
