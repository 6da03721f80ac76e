//! A relay between processes of a day. Whoever is named by a fault dials one of its doors in place of the other
//! side; bytes pass unread. At the times of its script it cuts or delays what passes, as a network does that
//! loses, holds back or refuses. It has no sockets, no clock and no chance of its own, and knows no protocol.

mod flow;
mod relay;

pub use relay::{Door, Fault, How, Relay, RelayTerms, Way};
