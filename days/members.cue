// Routers that know each other, over links that lose a tenth, while some are killed, halted, and cut in two.
day: {
	note:    "who is there, as each sees it"
	seed:    5
	routers: 24
	membership: true
	cells:   2
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 3, does: {role: "reader"}},
		{name: "writer", kind: "writers", count: 5, does: {role: "writer"}},
	]
	tracks: [{name: "member-query", contract: 1s, cut_off: 4s}]
	terms: {}
	load: {rate: 40, for: 24s, clients: 48, traffic: [{track: "member-query"}]}
	troubles: [
		{at: 0s, do: "delay", between: ["router"], and: ["router"], for: 24s, loss: 10%, jitter: 2ms},
		{at: 3s, do: "kill", who: ["router23"]},
		{at: 1s, do: "halt", who: ["router5"], for: 1s},
		{at: 4s, do: "halt", who: ["router9"], for: 1s},
		{at: 6s, do: "kill", who: ["router20", "router21", "router22"], back: 500ms, keeps: false},
		{at: 12s, do: "cut", between: ["router0-11"], and: ["router12-23"], for: 6s},
	]
	expect: {service: 50%, honoured: 80%}
}
