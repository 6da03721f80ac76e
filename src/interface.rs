//! The plain types at the edge of the decisions in `choice.rs`.

/// Tenths of a millisecond: a moment on the router's clock, or a length of time.
pub type Tenths = i64;

/// A worker's address and port, as the wire gives them.
pub type WorkerId = [u8; 6];

pub type SubmissionId = u64;

/// What a machine of one kind does: reads prompts, writes answers, or takes submissions whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Role {
    #[default]
    Reader,
    Writer,
    Mixed,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// The workers among which repeats of a referenced submission are dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repeat {
    Replayable,
    Referenced { group: Group, window: Tenths },
    SingleUse,
}

impl Repeat {
    /// Whether an attempt may follow so long after the first one that may have run.
    pub fn allows(self, after: Tenths) -> bool {
        match self {
            Repeat::Replayable => true,
            Repeat::SingleUse => false,
            Repeat::Referenced { window, .. } => after < window,
        }
    }

    /// Whether a worker knows a repeat of what may have run first, at a worker that was listed so when it was sent.
    pub fn is_known(self, first: Option<(Tenths, Listing)>, here: &Listing) -> bool {
        let Some((_, there)) = first else { return true };
        match self {
            Repeat::Referenced { group: Group::Zone, .. } => there.zone == here.zone,
            Repeat::Referenced { group: Group::Cell, .. } => there.cell == here.cell,
            _ => true,
        }
    }

    /// Whether a further attempt is harmless wherever it runs, so that a client may be told to come again.
    pub fn anywhere(self) -> bool {
        matches!(self, Repeat::Replayable | Repeat::Referenced { group: Group::All, .. })
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ending {
    Honoured,
    Fault,
    Full,
    /// There was no read state to fetch.
    Stateless,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    NeverSent,
    /// The prompt was read; its state waits at the reader.
    Read,
}

impl Ending {
    /// It shows that no answer has begun, nor ever will.
    pub fn never_ran(self) -> bool {
        use Ending::*;
        matches!(self, Read | Full | Stateless | Unreachable | NeverSent)
    }
}

/// What holds for one track of submissions.
#[derive(Clone, Debug)]
pub struct Track {
    pub repeat: Repeat,
    pub contract: Tenths,
    /// Contract time added for every 1,000 prompt tokens.
    pub per_thousand: Tenths,
    pub earnings: f64,
}

impl Track {
    /// How long after it came the first token of a submission is wanted.
    pub fn contract_of(&self, prompt: f64) -> Tenths {
        let stretch = self.per_thousand as f64 * prompt.max(0.0) / 1000.0;
        self.contract + stretch as Tenths
    }
}

/// What a router is told when it starts and works under from then on.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub routers: u32,
    pub tracks: Vec<Track>,
    pub roles: Vec<Role>,
    pub places: bool,
    pub writers_read: bool,
    pub release: Tenths,
    pub cold_share: f64,
    pub warm_after: Tenths,
    pub fall_multiple: f64,
    pub fall_span: Tenths,
    pub max_shots: u16,
    pub withdrawals: bool,
    pub probes: bool,
    /// A worker that is probed says how much it has, and readers are asked before a read goes out.
    pub asks: bool,
    /// What it has is told in prompt tokens, else in shots.
    pub in_tokens: bool,
    /// Changes of the list come only once they are asked for.
    pub subscribes: bool,
    pub advice: bool,
    pub longest_advice: Tenths,
}

impl Terms {
    /// What one shot adds to what a worker has, as that is told.
    pub fn amount(&self, prompt: f64) -> f64 {
        if self.in_tokens {
            prompt
        } else {
            1.0
        }
    }
}

/// One worker as the list names it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub worker: WorkerId,
    pub kind: u16,
    pub size: f64,
    pub standing: Standing,
    pub cell: u16,
    pub zone: u8,
    /// When its process last started; 0 for long ago.
    pub started: Tenths,
}

/// One submission as a client hands it over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub id: SubmissionId,
    pub track: u8,
    pub session: u64,
    pub prefix: u64,
    pub prompt: f64,
    pub left: Tenths,
}

impl Arrival {
    /// What its reads are placed by: the prefix that it shares, or its session.
    pub fn key(&self) -> u64 {
        if self.prefix != 0 {
            self.prefix
        } else {
            self.session
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Decision {
    Send {
        id: SubmissionId,
        worker: WorkerId,
        within: Tenths,
    },
    Hold {
        id: SubmissionId,
        worker: WorkerId,
    },
    LetGo {
        id: SubmissionId,
    },
    Withdraw {
        id: SubmissionId,
        shot: u16,
    },
    TurnBack {
        id: SubmissionId,
        after: Tenths,
    },
    Abandon {
        id: SubmissionId,
    },
    Probe {
        worker: WorkerId,
    },
    /// Ask for the list's changes from now on.
    Subscribe,
    Wake {
        after: Tenths,
    },
}
