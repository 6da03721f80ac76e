// Faults between processes: cuts one way and both, silent and by reset, delay and loss, restarts with and without
// what was kept, halts and wrong clocks, overlapping.
day: {
	note:    "half of the routers lose part of the workers and the list, and find them again"
	seed:    5
	routers: 8
	cells:   2
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 4, does: {role: "reader"}},
		{name: "writer", kind: "writers", count: 6, does: {role: "writer"}},
	]
	tracks: [
		{name: "query", contract: 1s, cut_off: 4s},
		{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 5s, earnings: 3},
	]
	terms: {warm_after: 3s}
	load: {
		rate: 60, for: 9s, clients: 32, leaves: 3%, uneven: {part: 25%, times: 4}
		traffic: [{track: "query", part: 3}, {track: "lodge"}]
	}
	troubles: [
		{at: 1s, do: "cut", between: ["router0-3"], and: ["writer0-2", "reader0"], for: 2s},
		{at: 1500ms, do: "cut", between: ["router4-5"], and: ["reader1-2", "list"], for: 1500ms, how: "reset"},
		{at: 3500ms, do: "cut", between: ["router"], and: ["writer3"], for: 1s, way: "back"},
		{at: 4s, do: "cut", between: ["writer"], and: ["reader3"], for: 1s, way: "there"},
		{at: 2s, do: "delay", between: ["router6-7"], and: ["reader", "writer"], for: 4s, delay: 5ms, jitter: 10ms, loss: 2%},
		{at: 4500ms, do: "kill", who: ["router0-1", "writer5"], back: 700ms, keeps: false},
		{at: 5s, do: "kill", who: ["router2"], back: 500ms},
		{at: 5500ms, do: "halt", who: ["router6", "writer4"], for: 800ms},
		{at: 1s, do: "clock", who: ["router7", "writer5"], for: 7s, rate: 1.0005, ahead: 30s},
	]
	expect: {service: 30%, honoured: 50%, memory: 64MiB}
}
