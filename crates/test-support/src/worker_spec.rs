//! Workers of generated deployments.

use serde::{Deserialize, Serialize};
use tideroute::rng::Rng;

use crate::random::choose;

/// What a worker does with attempts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Role {
    /// Prefills prompts, and keeps their KV state.
    Prefill,
    /// Generates responses from the KV state of a prefill.
    Decode,
    /// Both.
    Mixed,
}

impl Role {
    /// The role's word in the settings.
    pub(crate) fn settings_key(self) -> &'static str {
        match self {
            Role::Prefill => "read",
            Role::Decode => "write",
            Role::Mixed => "both",
        }
    }
}

/// What an emulated worker has to know of itself.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Its index in the deployment.
    pub worker: usize,
    /// What it does.
    pub role: Role,
    /// Whether it responds to a request of which no KV state is reserved, by prefilling itself.
    pub prefills_locally: bool,
}

/// A worker's place in a deployment.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it does.
    pub role: Role,
    /// Index of its worker kind.
    pub(crate) kind: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u16,
}

/// Worker kinds by their roles, and whether decode workers can prefill.
type KindChoice = (&'static [Role], bool);

const KIND_CHOICES: [KindChoice; 7] = [
    (&[Role::Prefill, Role::Decode], false),
    (&[Role::Prefill, Role::Decode, Role::Decode], false),
    (&[Role::Prefill, Role::Decode, Role::Mixed], false),
    (&[Role::Prefill, Role::Mixed], false),
    (&[Role::Mixed], false),
    (&[Role::Decode], true),
    (&[Role::Prefill, Role::Decode], true),
];

/// Generates the roles of the worker kinds, and whether decode workers can prefill.
pub(crate) fn generate_kinds(rng: &mut Rng) -> (Vec<Role>, bool) {
    let (kinds, decode_workers_prefill) = choose(rng, &KIND_CHOICES);
    (kinds.to_vec(), decode_workers_prefill)
}

/// Generates two or three workers of each kind, so that one of each can stay healthy.
pub(crate) fn generate_workers(rng: &mut Rng, kinds: &[Role]) -> Vec<Worker> {
    let cells = choose(rng, &[1u16, 2, 3]);
    let zones = choose(rng, &[1usize, 2, 3]);
    let workers_per_kind = choose(rng, &[2usize, 3]);
    let mut workers = vec![];
    for round in 0..workers_per_kind {
        for (kind, role) in kinds.iter().enumerate() {
            let cell = round as u16 % cells;
            workers.push(Worker { role: *role, kind, zone: usize::from(cell) % zones, cell });
        }
    }
    workers
}
