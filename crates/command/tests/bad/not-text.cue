// expect: 2:9: unexpected character '%'
router: %{
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
