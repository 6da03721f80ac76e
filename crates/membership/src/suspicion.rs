//! How long a suspicion lasts before the member is declared dead (Lifeguard).

use tideroute_wire::Micros;

use crate::units::MILLISECOND;

/// Timeout of a suspicion that enough members share. Longer than a process that pauses for one second needs until its
/// refutation has reached all.
const MIN_TIMEOUT: Micros = 1_900 * MILLISECOND;

/// Timeout of a suspicion that nobody shares: a member that suspects alone may itself be cut off.
const MAX_TIMEOUT: Micros = 4_000 * MILLISECOND;

/// Members beside the first whose suspicion reduces the timeout to [`MIN_TIMEOUT`].
pub(crate) const MAX_CONFIRMATIONS: usize = 3;

/// Timeout of a suspicion that so many further members share, where at most `possible` could.
pub(crate) fn suspicion_timeout(confirmations: usize, possible: usize) -> Micros {
    let wanted = MAX_CONFIRMATIONS.min(possible);
    if wanted == 0 {
        return MIN_TIMEOUT;
    }
    let confirmed = ((confirmations + 1) as f64).ln() / ((wanted + 1) as f64).ln();
    let extra = (MAX_TIMEOUT - MIN_TIMEOUT) as f64 * (1.0 - confirmed).max(0.0);
    MIN_TIMEOUT + extra as Micros
}
