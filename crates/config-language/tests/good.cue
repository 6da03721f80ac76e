// A router with two tracks of one shape.
_fast: {cut_off: 5s, earnings: 2}
_list: "127.0.0.1:7000"

router: {
	name:   "r0"
	listen: "127.0.0.1:7001"
	list:   _list
	tracks: [
		{name: "quick", contract: 800ms} & _fast,
		{name: "lodge", contract: 1.5s, repeat: "single-use"},
	]
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	terms: {routers: 3, cold_share: 30%}
}
