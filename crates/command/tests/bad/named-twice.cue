// expect: 5:46: "a" is named twice
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "a", role: "reader"}, {name: "a", role: "writer"}]
	terms: {}
}
