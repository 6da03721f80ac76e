//! What the rules are read by; it stands in the head of a record, as JSON. Times are microseconds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tideroute_wire::{Address, Micros};

use crate::cold::shown;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Terms {
    pub tracks: Vec<TrackTerms>,
    /// Workers by address, as `127.0.0.1:7000`.
    pub workers: BTreeMap<String, WorkerTerms>,
    pub release: Micros,
    pub drain_grace: Micros,
    pub cold_share: f64,
    pub warm_after: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
    pub most_shots: u16,
}

impl Terms {
    /// The worker that listens there, if the terms name it.
    pub fn worker(&self, at: Address) -> Option<&WorkerTerms> {
        self.workers.get(&shown(at))
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrackTerms {
    pub name: String,
    pub repeat: Repeat,
    /// What must hold between a shot that may have run and a later one, of a referenced track.
    pub group: Group,
    pub window: Micros,
    /// When the first token is wanted, and what 1,000 prompt tokens add: no rule, but what service is read by.
    #[serde(default)]
    pub contract: Micros,
    #[serde(default)]
    pub per_thousand: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Replayable,
    Referenced,
    SingleUse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerTerms {
    /// Tokens a second that it can do when warm.
    pub rate: f64,
    /// It reads prompts and answers nothing.
    pub reader: bool,
    pub cell: u16,
    pub zone: u8,
    /// Shots that it works on at once; no rule needs it.
    #[serde(default)]
    pub at_once: u32,
}
