//! The scheduler as it was before it kept its accounts event by event: a slow, plain reference implementation that
//! counts everything anew in each scheduling pass. It changes only with the shared types that it takes.

pub mod router;
