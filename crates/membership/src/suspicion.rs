//! The timeout of a suspicion, after which the suspected member is declared dead (Lifeguard).

use tideroute_wire::Micros;

use crate::units::MILLISECOND;

/// Timeout of a suspicion that [`MAX_CONFIRMATIONS`] further members confirm. It is long enough for a process that
/// pauses for one second to spread its refutation to all members.
const MIN_TIMEOUT: Micros = 1_900 * MILLISECOND;

/// Timeout of a suspicion that no other member confirms. A member that is alone with its suspicion may itself be cut
/// off.
const MAX_TIMEOUT: Micros = 4_000 * MILLISECOND;

/// Number of members besides the first whose suspicion reduces the timeout to [`MIN_TIMEOUT`].
pub(crate) const MAX_CONFIRMATIONS: usize = 3;

/// Returns the timeout of a suspicion that `confirmations` members besides the first share, of at most
/// `possible_confirmations`.
pub(crate) fn suspicion_timeout(confirmations: usize, possible_confirmations: usize) -> Micros {
    let needed = MAX_CONFIRMATIONS.min(possible_confirmations);
    if needed == 0 {
        return MIN_TIMEOUT;
    }
    let confirmed_share = ((confirmations + 1) as f64).ln() / ((needed + 1) as f64).ln();
    let extra = (MAX_TIMEOUT - MIN_TIMEOUT) as f64 * (1.0 - confirmed_share).max(0.0);
    MIN_TIMEOUT + extra as Micros
}
