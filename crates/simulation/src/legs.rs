//! What the way of a submission takes between its stations, read from the record of a day: from the client to
//! the reader, from the reader's last word to the writer, from the writer's token to the client. Work at the
//! stations is left out, so that a day with routers and one straight to the workers can be compared.

use std::collections::{BTreeMap, HashMap};
use std::io::Read;

use bytes::Bytes;
use hdrhistogram::Histogram;
use tideroute_wire::capture::{CaptureError, CaptureEvent, CapturedFrame, Reader};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{client, Address, Malformed, Micros};

/// Microseconds: the longest way that is told apart.
const LONGEST: u64 = 60_000_000;

/// Microseconds that the ways took.
pub struct Legs {
    /// All three ways up to the first token, of one submission together.
    pub first_token: Histogram<u64>,
    /// From the writer to the client, of each token.
    pub token: Histogram<u64>,
}

#[derive(Default)]
struct Way {
    asked: Option<Micros>,
    read_heard: Option<Micros>,
    read_done: Option<Micros>,
    write_heard: Option<Micros>,
    token_sent: HashMap<u32, Micros>,
    shots: u16,
}

/// What a frame says, as far as ways are concerned.
enum Word {
    Submit(u64),
    Taken(u64, u64),
    Read(u64, u16),
    Write(u64),
    ReadDone(u64),
    WorkerToken(u64, u32),
    ClientToken(u64, u32),
}

/// Reads the ways from a record; `routed` tells whether a router stands between client and workers.
pub fn legs(record: impl Read, routed: bool) -> Result<Legs, CaptureError> {
    let mut reader = Reader::new(record);
    let (processes, _) = reader.head()?;
    let roles: BTreeMap<u32, String> = processes.into_iter().map(|p| (p.number, p.role)).collect();
    let histogram =
        || Histogram::new_with_max(LONGEST, 3).unwrap_or_else(|_| unreachable!("constant bounds are valid"));
    let mut legs = Legs { first_token: histogram(), token: histogram() };
    let mut ways: HashMap<u64, Way> = HashMap::new();
    // Of routed days: numbers by client link, until the router's word on its own side tells the id.
    let mut asked: HashMap<(u32, u64, u64), Micros> = HashMap::new();
    let mut ids: HashMap<(u32, u64, u64), u64> = HashMap::new();
    while let Some(p) = reader.next_passed()? {
        let role = roles.get(&p.process).map_or("", String::as_str);
        let Some(word) = word(&p, role) else { continue };
        let heard = p.event == CaptureEvent::Received;
        match (word, role, heard) {
            (Word::Submit(n), "client", false) => {
                asked.insert((p.process, p.connection, n), p.at);
            }
            (Word::Taken(n, id), "client", true) => {
                let key = (p.process, p.connection, n);
                ids.insert(key, id);
                ways.entry(id).or_default().asked = asked.remove(&key);
            }
            (Word::Read(id, shot), "client", false) => {
                let way = ways.entry(id).or_default();
                (way.asked, way.shots) = (Some(p.at), shot);
            }
            (Word::Read(id, shot), "worker", true) => {
                let way = ways.entry(id).or_default();
                (way.read_heard, way.shots) = (Some(p.at), shot);
            }
            (Word::ReadDone(id), "worker", false) => ways.entry(id).or_default().read_done = Some(p.at),
            (Word::Write(id), "worker", true) => ways.entry(id).or_default().write_heard = Some(p.at),
            (Word::WorkerToken(id, index), "worker", false) => {
                ways.entry(id).or_default().token_sent.insert(index, p.at);
            }
            (Word::ClientToken(n, index), "client", true) if routed => {
                let id = ids.get(&(p.process, p.connection, n)).copied();
                arrived(&mut legs, &mut ways, id, index, p.at);
            }
            (Word::WorkerToken(id, index), "client", true) => {
                arrived(&mut legs, &mut ways, Some(id), index, p.at);
            }
            _ => {}
        }
    }
    Ok(legs)
}

fn arrived(legs: &mut Legs, ways: &mut HashMap<u64, Way>, id: Option<u64>, index: u32, at: Micros) {
    let Some(way) = id.and_then(|id| ways.get_mut(&id)) else { return };
    let Some(sent) = way.token_sent.remove(&index) else { return };
    let last = at.saturating_sub(sent);
    legs.token.saturating_record(last);
    let (asked, read) = (way.asked, way.read_heard);
    if let (0, 0, Some(asked), Some(read), Some(done), Some(write)) =
        (index, way.shots, asked, read, way.read_done, way.write_heard)
    {
        // Where waits of the router's own choice come in (a read held back), they count as its own.
        let ways = read.saturating_sub(asked) + write.saturating_sub(done) + last;
        legs.first_token.saturating_record(ways);
    }
}

fn word(p: &CapturedFrame, role: &str) -> Option<Word> {
    if !matches!(p.event, CaptureEvent::Sent | CaptureEvent::Received) || p.position == 0 {
        return None;
    }
    let mut ear = Ear(None);
    // A client of a straight day speaks to workers as a router does.
    let sent = p.event == CaptureEvent::Sent;
    let _ = match (role, sent) {
        ("client", true) => client::receive_from_client(&p.frame, &mut ear)
            .ok()
            .filter(|()| ear.0.is_some())
            .map_or_else(|| worker::receive_from_router(&p.frame, &mut ear), Ok),
        ("client", false) => match client::receive_from_router(&p.frame, &mut ear) {
            Ok(()) if ear.0.is_some() => Ok(()),
            _ => worker::receive_from_worker(&p.frame, &mut ear),
        },
        ("worker", true) => worker::receive_from_worker(&p.frame, &mut ear),
        ("worker", false) => worker::receive_from_router(&p.frame, &mut ear),
        _ => Ok(()),
    };
    ear.0
}

struct Ear(Option<Word>);

impl Ear {
    fn note(&mut self, word: Word) -> Result<(), Malformed> {
        self.0 = Some(word);
        Ok(())
    }
}

impl client::Router for Ear {
    fn submit(
        &mut self,
        number: u64,
        _track: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _most_tokens: u32,
        _left: Micros,
        _mark: u64,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.note(Word::Submit(number))
    }

    fn cancel(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }
}

impl client::Client for Ear {
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed> {
        self.note(Word::Taken(number, id))
    }

    fn token(&mut self, number: u64, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.note(Word::ClientToken(number, index))
    }

    fn completed(&mut self, _number: u64, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn rejected(&mut self, _number: u64, _after: Micros) -> Result<(), Malformed> {
        Ok(())
    }

    fn failed(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn unauthorized(&mut self, _why: &str) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Worker for Ear {
    fn prefill(
        &mut self,
        id: u64,
        shot: u16,
        _track: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _left: Micros,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.note(Word::Read(id, shot))
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
        self.note(Word::Write(id))
    }

    fn release(&mut self, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn cancel(&mut self, _id: u64, _shot: u16) -> Result<(), Malformed> {
        Ok(())
    }

    fn check_health(&mut self, _nonce: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn grant_tokens(&mut self, _id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Router for Ear {
    fn reservation_answered(&mut self, _id: u64, _held: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(&mut self, id: u64, _shot: u16, _kept: u32, _bytes: u64) -> Result<(), Malformed> {
        self.note(Word::ReadDone(id))
    }

    fn token(&mut self, id: u64, _shot: u16, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.note(Word::WorkerToken(id, index))
    }

    fn completed(&mut self, _id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn attempt_ended(&mut self, _id: u64, _shot: u16, _how: AttemptFailure) -> Result<(), Malformed> {
        Ok(())
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
