// expect: 4:11: contract has no value; expected duration & >0s
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick"}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
