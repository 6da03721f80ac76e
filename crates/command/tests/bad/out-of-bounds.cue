// expect: 6:34: 65000000 is out of bounds; expected int & >=1 & <=65535
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {cold_share: 1, routers: 65000000}
}
