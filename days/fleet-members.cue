// The whole fleet as routers that know each other: over links that lose a tenth, some killed for good, one in fifty
// halted for a second at a time, two halves cut from each other, and seven in ten killed at once and back.
day: {
	note:    "who is there, as each of 300 sees it"
	seed:    21
	routers: 300
	membership: true
	cells:   10
	zones:   2
	kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}]
	fleet: [
		{name: "reader", kind: "readers", count: 40, does: {role: "reader", reads_at_once: 4, read_rate: 5000}},
		{name: "writer", kind: "writers", count: 60, does: {role: "writer", streams_at_once: 8, token_gap: 25ms}},
	]
	tracks: [
		{name: "member-query", contract: 1s, cut_off: 4s, earnings: 1},
		{name: "schedule-lodge", repeat: "single-use", contract: 1500ms, cut_off: 6s, earnings: 3},
		{name: "statement-note", repeat: "referenced", group: "cell", window: 3s, contract: 1500ms, cut_off: 5s, earnings: 2},
	]
	terms: {warm_after: 8s}
	lag: 300ms
	load: {
		rate: 270, for: 75s, clients: 600, leaves: 1%
		traffic: [
			{track: "member-query", part: 6},
			{track: "schedule-lodge", part: 2, shared: 10%, adds: {least: 400, most: 1200}},
			{track: "statement-note", part: 2, answer: {least: 30, most: 70}},
		]
	}
	troubles: [
		{at: 0s, do: "delay", between: ["router"], and: ["router"], for: 75s, loss: 10%, jitter: 1ms},
		{at: 2s, do: "kill", who: ["router290-299"]},
		{at: 12.0s, do: "halt", who: ["router0-5"], for: 1s},
		{at: 13.2s, do: "halt", who: ["router30-35"], for: 1s},
		{at: 14.4s, do: "halt", who: ["router60-65"], for: 1s},
		{at: 15.6s, do: "halt", who: ["router90-95"], for: 1s},
		{at: 16.8s, do: "halt", who: ["router120-125"], for: 1s},
		{at: 18.0s, do: "halt", who: ["router150-155"], for: 1s},
		{at: 19.2s, do: "halt", who: ["router180-185"], for: 1s},
		{at: 20.4s, do: "halt", who: ["router210-215"], for: 1s},
		{at: 24s, do: "cut", between: ["router0-149"], and: ["router150-299"], for: 10s},
		{at: 42s, do: "kill", who: ["router60-269"], back: 500ms, keeps: false},
		{at: 55s, do: "kill", who: ["router280-284"]},
		{at: 55200ms, do: "kill", who: ["router285-289"]},
	]
	expect: {memory: 64MiB}
}
