// expect: 4:10: the list has 0 elements; expected at least 1
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: []
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
