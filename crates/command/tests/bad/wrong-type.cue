// expect: 4:37: 8 is of type int; expected duration & >0s
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 8}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
