//! Reads a record once and tells how its load was spread.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::Read;

use bytes::Bytes;
use hdrhistogram::Histogram;
use serde::Serialize;
use tideroute_trace_checker::CheckerConfig as Terms;
use tideroute_wire::capture::{CaptureError, CaptureEvent, CapturedFrame, Reader};
use tideroute_wire::worker::AttemptFailure;
use tideroute_wire::{client, worker, Address, Malformed, Micros, Party};

use crate::workers::Workers;

/// Microseconds: the longest first token that is told apart.
const LONGEST: Micros = 600_000_000;
/// Significant figures: a per mille is more than is read from them.
const FIGURES: u8 = 3;

#[derive(Debug, thiserror::Error)]
pub enum SpreadError {
    #[error("the record cannot be read: {0}")]
    Record(#[from] CaptureError),
    #[error("the record's terms cannot be read: {0}")]
    Terms(#[from] serde_json::Error),
}

/// One role's spread.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Side {
    pub workers: usize,
    pub arrivals: u64,
    /// The fullest worker's work over the mean, by weight, of the seconds of the day.
    pub ratio_p50: f64,
    pub ratio_p99: f64,
    pub ratio_worst: f64,
    /// The part of worker seconds idle while another of the role had work waiting.
    pub idle_beside: f64,
    /// Of arrivals in windows of 100 ms: 1 for independent choice.
    pub dispersion: f64,
    /// Windows in which the fullest worker got what independent choice brings once in a thousand, all windows,
    /// and how many of them chance would show so.
    pub herds: u64,
    pub windows: u64,
    pub herds_by_chance: f64,
    /// The most arrivals at one worker in one window, and all arrivals of that window.
    pub worst_window: (u32, u32),
    /// The fullest over the mean, second by second.
    pub ratios: Vec<f64>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct TrackFigures {
    pub name: String,
    pub submitted: u64,
    /// The part that had its first token within the contract time.
    pub service: f64,
    pub first_token_p50_ms: f64,
    pub first_token_p99_ms: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Spread {
    pub readers: Side,
    pub writers: Side,
    /// Of the prompt tokens of shared texts that were read, the part that was found kept.
    pub kept: f64,
    pub tracks: Vec<TrackFigures>,
}

/// A shot at a worker: where it runs and on which connection.
type Shot = (u32, u64, u64);

struct Asked {
    at: Micros,
    track: usize,
    contract: Micros,
}

struct Track {
    first: Histogram<u64>,
    submitted: u64,
    in_time: u64,
}

struct Books {
    terms: Terms,
    /// By process: the role's workers and the place among them.
    places: HashMap<u32, (bool, usize)>,
    clients: HashSet<u32>,
    sides: [Workers; 2],
    arrivals: [u64; 2],
    /// What each connection of a worker is for, once its Hello came.
    routers: HashMap<(u32, u64), bool>,
    shots: BTreeMap<Shot, u32>,
    asked: HashMap<Shot, Asked>,
    tracks: Vec<Track>,
    shared: f64,
    kept: f64,
    last: Micros,
}

/// Measures the record of a day.
pub fn measure(record: impl Read) -> Result<Spread, SpreadError> {
    let mut reader = Reader::new(record);
    let (processes, terms) = reader.head()?;
    let terms: Terms = serde_json::from_str(&terms)?;
    let mut books = Books::new(terms);
    let mut by_address: HashMap<Address, (bool, usize)> = HashMap::new();
    for who in &processes {
        if who.role == "client" {
            books.clients.insert(who.number);
        }
        let Some(address) = who.address.filter(|_| who.role == "worker") else { continue };
        let Some(able) = books.terms.worker(address) else { continue };
        let (reads, weight, slots) = (able.is_prefill, able.tokens_per_second, able.slots);
        let side = &mut books.sides[usize::from(!reads)];
        let place = *by_address.entry(address).or_insert_with(|| (reads, side.add(weight, slots)));
        books.places.insert(who.number, place);
    }
    while let Some(passed) = reader.next_passed()? {
        books.follow(&passed);
    }
    Ok(books.finish())
}

impl Books {
    fn new(terms: Terms) -> Books {
        let track = |_: &_| Track {
            first: Histogram::new_with_max(LONGEST, FIGURES)
                .unwrap_or_else(|_| unreachable!("constant bounds are valid")),
            submitted: 0,
            in_time: 0,
        };
        Books {
            tracks: terms.classes.iter().map(track).collect(),
            terms,
            places: HashMap::new(),
            clients: HashSet::new(),
            sides: Default::default(),
            arrivals: [0; 2],
            routers: HashMap::new(),
            shots: BTreeMap::new(),
            asked: HashMap::new(),
            shared: 0.0,
            kept: 0.0,
            last: 0,
        }
    }

    fn follow(&mut self, passed: &CapturedFrame) {
        let link = (passed.process, passed.connection);
        if let Some(&(reads, place)) = self.places.get(&passed.process) {
            let side = usize::from(!reads);
            match passed.event {
                CaptureEvent::ProcessStarted => self.sides[side].there(passed.at, place, true),
                CaptureEvent::ProcessExited | CaptureEvent::ProcessKilled => {
                    self.sides[side].there(passed.at, place, false);
                    self.shots.retain(|(process, ..), _| *process != passed.process);
                }
                CaptureEvent::Closed => {
                    let all = (link.0, link.1, 0)..=(link.0, link.1, u64::MAX);
                    let ids: Vec<_> = self.shots.range(all).map(|(shot, _)| *shot).collect();
                    ids.into_iter().for_each(|shot| self.ended(passed.at, shot));
                    self.routers.remove(&link);
                }
                CaptureEvent::Received if passed.position == 0 => {
                    let router = tideroute_wire::first(&passed.frame).is_ok_and(|f| f.0 == Party::Router);
                    self.routers.insert(link, router);
                }
                CaptureEvent::Received | CaptureEvent::Sent if self.routers.get(&link) == Some(&true) => {
                    // What cannot be read is for the check of the rules to tell.
                    let mut ear = Ear { books: self, passed };
                    let _ = match passed.event {
                        CaptureEvent::Received => worker::receive_from_router(&passed.frame, &mut ear),
                        _ => worker::receive_from_worker(&passed.frame, &mut ear),
                    };
                }
                _ => {}
            }
        } else if self.clients.contains(&passed.process) {
            let mut ear = Ear { books: self, passed };
            let _ = match passed.event {
                CaptureEvent::Sent if passed.position > 0 => {
                    client::receive_from_client(&passed.frame, &mut ear)
                }
                CaptureEvent::Received => client::receive_from_router(&passed.frame, &mut ear),
                _ => Ok(()),
            };
        }
    }

    /// A shot comes, with so many tokens of a shared text.
    fn arrived(&mut self, passed: &CapturedFrame, id: u64, shared: u32) {
        let Some(&(reads, place)) = self.places.get(&passed.process) else { return };
        let shot = (passed.process, passed.connection, id);
        if self.shots.insert(shot, shared).is_none() {
            self.sides[usize::from(!reads)].arrive(passed.at, place);
            self.arrivals[usize::from(!reads)] += 1;
        }
    }

    fn ended(&mut self, at: Micros, shot: Shot) {
        let Some(&(reads, place)) = self.places.get(&shot.0) else { return };
        if self.shots.remove(&shot).is_some() {
            self.sides[usize::from(!reads)].leave(at, place);
        }
    }

    fn finish(mut self) -> Spread {
        let last = self.last;
        self.sides.iter_mut().for_each(|side| side.end(last));
        let [readers, writers] = [0, 1].map(|n| side(&self.sides[n], self.arrivals[n]));
        let tracks = self.terms.classes.iter().zip(&self.tracks).map(|(terms, t)| TrackFigures {
            name: terms.name.clone(),
            submitted: t.submitted,
            service: t.in_time as f64 / t.submitted.max(1) as f64,
            first_token_p50_ms: t.first.value_at_quantile(0.5) as f64 / 1e3,
            first_token_p99_ms: t.first.value_at_quantile(0.99) as f64 / 1e3,
        });
        Spread { readers, writers, kept: self.kept / self.shared.max(1.0), tracks: tracks.collect() }
    }
}

fn side(workers: &Workers, arrivals: u64) -> Side {
    let ratios = workers.ratios();
    let mut sorted = ratios.clone();
    sorted.sort_by(f64::total_cmp);
    let at =
        |part: f64| sorted.get(((sorted.len() as f64 * part).ceil() as usize).saturating_sub(1)).copied();
    let herds = &workers.herds;
    Side {
        workers: workers.count(),
        arrivals,
        ratio_p50: at(0.5).unwrap_or(0.0),
        ratio_p99: at(0.99).unwrap_or(0.0),
        ratio_worst: at(1.0).unwrap_or(0.0),
        idle_beside: workers.idle_beside(),
        dispersion: herds.index(),
        herds: herds.beyond,
        windows: herds.windows,
        herds_by_chance: herds.by_chance(),
        worst_window: herds.worst,
        ratios,
    }
}

struct Ear<'a> {
    books: &'a mut Books,
    passed: &'a CapturedFrame,
}

impl Ear<'_> {
    fn key(&self, id: u64) -> Shot {
        (self.passed.process, self.passed.connection, id)
    }

    fn end(&mut self, id: u64) -> Result<(), Malformed> {
        self.books.ended(self.passed.at, self.key(id));
        Ok(())
    }
}

impl worker::Worker for Ear<'_> {
    fn prefill(
        &mut self,
        id: u64,
        _shot: u16,
        _track: u8,
        _session: u64,
        prefix: u64,
        _prompt_tokens: u32,
        prefix_tokens: u32,
        _left: Micros,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.books.arrived(self.passed, id, if prefix != 0 { prefix_tokens } else { 0 });
        Ok(())
    }

    fn reserve(&mut self, _id: u64, _prompt: u32, _most: u32, _reader: Address) -> Result<(), Malformed> {
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        _shot: u16,
        _track: u8,
        _prompt_tokens: u32,
        _most_tokens: u32,
        _left: Micros,
        _mark: u64,
        _reader: Option<Address>,
        _window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.books.arrived(self.passed, id, 0);
        Ok(())
    }

    fn release(&mut self, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn cancel(&mut self, id: u64, _shot: u16) -> Result<(), Malformed> {
        self.end(id)
    }

    fn check_health(&mut self, _nonce: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn grant_tokens(&mut self, _id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Router for Ear<'_> {
    fn reservation_answered(&mut self, _id: u64, _held: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(&mut self, id: u64, _shot: u16, kept: u32, _bytes: u64) -> Result<(), Malformed> {
        if let Some(&shared) = self.books.shots.get(&self.key(id)) {
            self.books.shared += f64::from(shared);
            self.books.kept += f64::from(kept.min(shared));
        }
        self.end(id)
    }

    fn token(&mut self, _id: u64, _shot: u16, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }

    fn completed(&mut self, id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        self.end(id)
    }

    fn attempt_ended(&mut self, id: u64, _shot: u16, _how: AttemptFailure) -> Result<(), Malformed> {
        self.end(id)
    }

    fn health_reported(
        &mut self,
        _nonce: u64,
        _reads: u32,
        _streams: u32,
        _waiting: u32,
    ) -> Result<(), Malformed> {
        Ok(())
    }
}

impl client::Router for Ear<'_> {
    fn submit(
        &mut self,
        number: u64,
        track: u8,
        _session: u64,
        _prefix: u64,
        prompt_tokens: u32,
        _prefix_tokens: u32,
        _most_tokens: u32,
        _left: Micros,
        _mark: u64,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        let (track, key) = (usize::from(track), self.key(number));
        let books = &mut *self.books;
        let Some(terms) = books.terms.classes.get(track) else { return Ok(()) };
        let contract =
            terms.ttft_objective + u64::from(prompt_tokens) * terms.ttft_objective_per_1000_tokens / 1000;
        books.tracks[track].submitted += 1;
        books.asked.insert(key, Asked { at: self.passed.at, track, contract });
        books.last = self.passed.at;
        Ok(())
    }

    fn cancel(&mut self, number: u64) -> Result<(), Malformed> {
        let key = self.key(number);
        self.books.asked.remove(&key);
        Ok(())
    }
}

impl client::Client for Ear<'_> {
    fn accepted(&mut self, _number: u64, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn token(&mut self, number: u64, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        let key = self.key(number);
        if let Some(asked) = self.books.asked.remove(&key) {
            let took = self.passed.at.saturating_sub(asked.at);
            let track = &mut self.books.tracks[asked.track];
            track.first.saturating_record(took);
            track.in_time += u64::from(took <= asked.contract);
        }
        Ok(())
    }

    fn completed(&mut self, _number: u64, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn rejected(&mut self, number: u64, _after: Micros) -> Result<(), Malformed> {
        client::Router::cancel(self, number)
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        client::Router::cancel(self, number)
    }

    fn unauthorized(&mut self, _why: &str) -> Result<(), Malformed> {
        Ok(())
    }
}
