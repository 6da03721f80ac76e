// expect: 3:21: "here" is not an IPv4 address with a port; expected one like 127.0.0.1:7000
router: {
	name: "r", listen: "here", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
