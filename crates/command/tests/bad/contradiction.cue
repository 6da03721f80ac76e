// expect: 4:50: the cut_off of track "quick" is before its contract time
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s, cut_off: 10ms}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
