// The bad day: three routers and sixteen workers in four cells and two zones, 270 submissions a second, and
// nearly everything that can go wrong at once.
_quarter: ["reader1", "writer1", "writer5", "writer9"]

day: {
	note:    "a quarter dies and comes back cold while traffic doubles; silence, drains, halts, a lost router"
	seed:    11
	routers: 3
	cells:   4
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 6, does: {role: "reader", reads_at_once: 8, read_rate: 20000}},
		{name: "writer", kind: "writers", count: 10, does: {role: "writer", streams_at_once: 48, token_gap: 20ms}},
	]
	tracks: [
		{name: "member-query", contract: 1s, cut_off: 4s, earnings: 1},
		{name: "schedule-lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
		{name: "statement-note", repeat: "referenced", group: "cell", window: 3s, contract: 1500ms, cut_off: 5s, earnings: 2},
	]
	terms: {release: 500ms, drain_grace: 500ms, cold_share: 28%, warm_after: 8s, fall_span: 2s}
	lag: 300ms
	load: {
		rate: 270, for: 22s, clients: 24, leaves: 3%, sluggish: 2
		traffic: [
			{track: "member-query", part: 6},
			{track: "schedule-lodge", part: 2, shared: 10%, adds: {least: 400, most: 1200}},
			{track: "statement-note", part: 2, answer: {least: 30, most: 70}},
		]
	}
	troubles: [
		// A quarter of the workers dies at once; the list says so seconds late; traffic doubles.
		{at: 3s, do: "list-late", lag: 2500ms, for: 8s},
		{at: 4s, do: "kill", who: _quarter, back: 3s},
		{at: 4s, do: "burst", for: 4s, times: 2},
		// One that accepts connections and says nothing.
		{at: 6s, do: "silent", who: ["writer2"], for: 4s},
		// Drains, one of them with places held ahead.
		{at: 9s, do: "drain", who: ["writer3", "reader2"], for: 3s},
		// A state breaks on its way; a worker turns all away; another answers with faults.
		{at: 10s, do: "corrupt", who: ["reader3"], for: 2s},
		{at: 11s, do: "refuse", who: ["writer4"], for: 2s},
		{at: 12s, do: "fault", who: ["writer6"], for: 1s},
		// Readers die with states half moved, and one machine pauses.
		{at: 13s, do: "kill", who: ["reader0"], back: 1s},
		{at: 14s, do: "halt", who: ["writer7"], for: 700ms},
		{at: 15s, do: "slow", who: ["writer8", "reader4"], for: 3s, times: 4},
		// A router is killed and comes back with its last list.
		{at: 16s, do: "kill", who: ["router1"], back: 1500ms},
	]
	expect: {service: 55%, honoured: 75%, memory: 128MiB}
}
