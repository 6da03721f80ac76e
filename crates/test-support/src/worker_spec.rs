//! The workers of generated deployments.

use serde::{Deserialize, Serialize};
use tideroute::rng::Rng;

use crate::random::choose;

/// The role of a worker.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Role {
    /// Prefills prompts and holds their KV state.
    Prefill,
    /// Generates responses from the KV state of a prefill.
    Decode,
    /// Prefills prompts and generates responses.
    Mixed,
}

impl Role {
    /// Returns the value of the role in the settings.
    pub(crate) fn settings_key(self) -> &'static str {
        match self {
            Role::Prefill => "read",
            Role::Decode => "write",
            Role::Mixed => "both",
        }
    }
}

/// The parameters of an emulated worker.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The index of the worker in the deployment.
    pub worker: usize,
    /// The role of the worker.
    pub role: Role,
    /// Whether the worker prefills a request itself for which no KV state exists.
    pub prefills_locally: bool,
}

/// The role and the location of a worker in a deployment.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The role of the worker.
    pub role: Role,
    /// The index of its worker kind.
    pub(crate) kind: usize,
    /// The index of its zone.
    pub zone: usize,
    /// The number of its cell.
    pub cell: u16,
}

/// The roles of the worker kinds of a deployment, and whether decode workers can prefill.
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

/// Chooses the roles of the worker kinds, and whether decode workers can prefill.
pub(crate) fn generate_kinds(rng: &mut Rng) -> (Vec<Role>, bool) {
    let (kinds, decode_workers_prefill) = choose(rng, &KIND_CHOICES);
    (kinds.to_vec(), decode_workers_prefill)
}

/// Generates two or three workers of each kind, so that one of each kind can stay healthy while others fail.
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
