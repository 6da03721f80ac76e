//! How often each key came of late, among all that came. It decides nothing: over what time, and what is too seldom
//! to be kept, is told with each call.

use std::collections::BTreeMap;

use crate::ewma::Ewma;
use crate::types::TenthMillis;

#[derive(Default)]
pub struct Seen {
    each: BTreeMap<u64, Ewma>,
    all: Ewma,
    /// The size at which those that came too seldom are forgotten.
    sweep: usize,
}

impl Seen {
    /// One came; 0 is no key and counts among all alone.
    pub fn add(&mut self, now: TenthMillis, span: TenthMillis, key: u64, seldom: f64) {
        self.all.add(now, span, 1.0);
        if key == 0 {
            return;
        }
        let seen = self.each.entry(key).or_default();
        if seen.read(now, span) <= seldom {
            *seen = Ewma::default();
        }
        seen.add(now, span, 1.0);
        if self.each.len() > self.sweep {
            self.each.retain(|_, s| s.read(now, span) > seldom);
            self.sweep = 2 * self.each.len();
        }
    }

    /// How often the key came, and how many came at all.
    pub fn read(&mut self, now: TenthMillis, span: TenthMillis, key: u64) -> (f64, f64) {
        let seen = self.each.get_mut(&key).map_or(0.0, |s| s.read(now, span));
        (seen, self.all.read(now, span))
    }
}
