// expect: 4:50: the track "quick" is given up before its contract time
router: {
	name: "r", listen: "127.0.0.1:7001", list: "127.0.0.1:7000"
	tracks: [{name: "quick", contract: 1s, cut_off: 10ms}]
	kinds: [{name: "readers", role: "reader"}]
	terms: {}
}
