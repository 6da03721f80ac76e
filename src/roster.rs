//! The list of workers as choices look into it, made anew when it changes. It decides nothing.

use std::collections::BTreeMap;

use crate::ranking::Ranking;
use crate::types::{Endpoint, EndpointStatus, Role, TenthMillis, WorkerId};

#[derive(Default)]
pub struct Roster {
    /// Readers and mixed workers that are ready, by their parts of all reads.
    pub readers: Ranking,
    /// Of them those of which a start is known, and when it was.
    started: Vec<(TenthMillis, WorkerId)>,
    /// The part of all reads that the readers of a cell take.
    parts: BTreeMap<u16, f64>,
    /// Writers and mixed workers, all and by cell.
    pub writers: Vec<WorkerId>,
    near: BTreeMap<u16, Vec<WorkerId>>,
    /// Of those that take reads alone and of the others, how many are ready, their sizes in all, and the known starts
    /// of them in order.
    kin: [(usize, f64, Vec<TenthMillis>); 2],
}

impl Roster {
    /// Workers, and the parts of all reads of those that read, both by id.
    pub fn new<'a>(
        workers: impl Iterator<Item = (&'a Endpoint, Role)>,
        shares: Vec<(WorkerId, f64)>,
    ) -> Roster {
        let mut roster = Roster::default();
        let all = shares.iter().map(|(_, part)| part).sum::<f64>().max(0.01);
        let mut share = shares.iter().peekable();
        for (list, role) in workers {
            if let Some((id, part)) = share.next_if(|(id, _)| *id == list.worker) {
                *roster.parts.entry(list.cell).or_default() += part;
                roster.started.extend((list.start_time > 0).then_some((list.start_time, *id)));
            }
            if role != Role::Prefill {
                roster.writers.push(list.worker);
                roster.near.entry(list.cell).or_default().push(list.worker);
            }
            if list.status == EndpointStatus::Serving {
                let (ready, sizes, starts) = &mut roster.kin[usize::from(role == Role::Prefill)];
                (*ready, *sizes) = (*ready + 1, *sizes + list.size);
                starts.extend((list.start_time > 0).then_some(list.start_time));
            }
        }
        roster.parts.values_mut().for_each(|part| *part /= all);
        roster.kin.iter_mut().for_each(|(.., starts)| starts.sort_unstable());
        roster.readers.anew(shares);
        roster
    }

    /// The part of all reads that the readers of a cell take.
    pub fn part(&self, cell: u16) -> f64 {
        self.parts.get(&cell).copied().unwrap_or(0.0)
    }

    /// The writers of a cell, by id.
    pub fn near(&self, cell: u16) -> &[WorkerId] {
        self.near.get(&cell).map_or(&[], Vec::as_slice)
    }

    /// Readers that started less than so long ago, by id.
    pub fn cold_readers(&self, now: TenthMillis, warm_after: TenthMillis) -> Vec<WorkerId> {
        self.started.iter().filter(|(at, _)| now - at < warm_after).map(|(_, id)| *id).collect()
    }

    /// How many workers are ready that share a worker's flow, reads or all else; how many of them are warm; and its
    /// size as a part of their mean, 1 at most: sizes that follow the load make idle ones look larger than they are.
    pub fn peers(
        &self,
        list: &Endpoint,
        role: Role,
        now: TenthMillis,
        warm_after: TenthMillis,
    ) -> (f64, f64, f64) {
        let (ready, sizes, starts) = &self.kin[usize::from(role == Role::Prefill)];
        let cold = starts.len() - starts.partition_point(|at| now - at >= warm_after);
        let part = list.size * *ready as f64 / sizes.max(0.01);
        (*ready as f64, (ready - cold) as f64, part.clamp(0.01, 1.0))
    }
}
