//! What was seen against what was true.

use std::collections::BTreeSet;

use tideroute_wire::Micros;

use crate::truth::{Truth, Word};
use crate::Report;

/// Microseconds within which 99 of 100 of the others know of a kill.
pub const KNOWN: Micros = 5_000_000;
/// And within which the last of them does.
const KNOWN_TO_ALL: Micros = 8_000_000;
/// Microseconds after a start, the end of a cut or of a long halt, after which all see all that are up.
pub const MEETS: Micros = 5_000_000;
/// A halt up to this long is to be got over with nobody taken for dead: a second, and what the player's own clock
/// and signals add.
const HALT: Micros = 1_200_000;
/// The longest that a router may take from its goodbye to its end.
const GOODBYE: Micros = 2_000_000;
/// How long ago what excuses a death may be: a suspicion at its longest, and its word on the way.
const BEFORE: Micros = 8_000_000;

pub fn judge(truth: &Truth, report: &mut Report) {
    deaths(truth, report);
    // When the routers were told to end, by the first that did so or said so.
    let lefts = truth.lives.iter().flatten().filter(|l| l.left).map(|l| l.until);
    let goodbyes = truth.sights.iter().filter(|s| s.word == Word::Left).map(|s| s.at);
    let Some(end) = lefts.chain(goodbyes).min() else {
        return report.note(0, "no router ended in order: there is no end up to which to look");
    };
    known(truth, end, report);
    moments(truth, end, report);
    if report.compared == 0 {
        report.note(end, "nothing was compared: all the time something had just happened");
    }
}

/// None is taken for dead that is up. Excused: one that was down not long ago, whose death may be that of its
/// former life; one that was halted for longer than is to be got over; and any of a cut's two sides.
fn deaths(truth: &Truth, report: &mut Report) {
    for s in truth.sights.iter().filter(|s| s.word != Word::In) {
        let (viewer, of) = (&truth.names[s.viewer], &truth.names[s.of]);
        let since = s.at.saturating_sub(BEFORE);
        if s.word == Word::Left {
            // Its goodbye is on its way before its record's last word is.
            let did = truth.lives[s.of].iter().any(|l| l.left && l.until <= s.at + GOODBYE);
            if !did {
                report.note(s.at, format!("{viewer} saw {of} leave, which it did not"));
            }
            continue;
        }
        report.deaths += 1;
        if truth.up(s.of, s.at).is_none() {
            continue;
        }
        let excused = truth.down_within(s.of, since, s.at)
            || truth.halted_within(s.of, since, s.at, HALT)
            || truth.cut_within(s.of, since, s.at)
            || truth.cut_within(s.viewer, since, s.at);
        report.excused += u64::from(excused);
        if !excused {
            report.note(s.at, format!("{viewer} took {of} for dead, which was up"));
        }
    }
}

/// How long it took until each of the others knew of a kill, where nothing else explains why one did not.
fn known(truth: &Truth, end: Micros, report: &mut Report) {
    let mut took = Vec::new();
    // Words on each, by viewer, in order of time.
    let mut words = vec![Vec::new(); truth.names.len()];
    truth.sights.iter().for_each(|s| words[s.of].push((s.viewer, s.at, s.word)));
    for (of, lives) in truth.lives.iter().enumerate() {
        for (n, life) in lives.iter().enumerate().filter(|(_, l)| l.until < end && !l.left) {
            let killed = life.until;
            let back = lives.get(n + 1).map_or(Micros::MAX, |l| l.from);
            let until = (killed + KNOWN_TO_ALL).min(end).min(back);
            if until < killed + KNOWN || truth.any_cut_within(killed.saturating_sub(MEETS), until) {
                continue;
            }
            report.kills += 1;
            for viewer in (0..truth.names.len()).filter(|v| *v != of) {
                if !truth.up_through(viewer, killed, until) || truth.halted_within(viewer, killed, until, 0) {
                    continue;
                }
                let mine = words[of].iter().filter(|(v, at, _)| *v == viewer && *at <= until);
                // What it last saw before the kill counts, if it took it for gone then already; who had not met
                // it has nothing to know.
                let (before, after): (Vec<_>, Vec<_>) = mine.copied().partition(|(_, at, _)| *at < killed);
                let Some((.., last)) = before.last() else { continue };
                let gone_before = *last != Word::In;
                let first = after.iter().find(|(.., word)| *word != Word::In).map(|(_, at, _)| at - killed);
                match first.or(gone_before.then_some(0)) {
                    Some(after) => took.push(after),
                    None => {
                        let (viewer, of) = (&truth.names[viewer], &truth.names[of]);
                        let span = (until - killed) as f64 / 1e6;
                        report.note(
                            killed,
                            format!("{viewer} did not know {span:.1} s after that {of} was killed"),
                        );
                    }
                }
            }
        }
    }
    took.sort_unstable();
    let at = |part: f64| {
        let place = ((took.len() as f64 * part) as usize).min(took.len().saturating_sub(1));
        took.get(place).copied().unwrap_or(0)
    };
    report.known = [at(0.5), at(0.99), at(1.0)];
    if report.known[1] > KNOWN {
        let late = report.known[1] as f64 / 1e6;
        report.note(end, format!("kills were known after {late:.1} s at the 99th percentile"));
    }
}

/// Compares all views with what is true at each moment that follows on a time with nothing new in it.
fn moments(truth: &Truth, end: Micros, report: &mut Report) {
    let mut news: BTreeSet<Micros> = truth.lives.iter().flatten().flat_map(|l| [l.from, l.until]).collect();
    news.extend(truth.cuts.iter().flat_map(|c| [c.from, c.until]));
    let long = |(from, until): &&(Micros, Micros)| until - from > HALT;
    news.extend(truth.halts.iter().flatten().filter(long).flat_map(|(from, until)| [*from, *until]));
    let news: Vec<_> = news.into_iter().filter(|at| *at < end).collect();
    let mut moments = BTreeSet::new();
    for (n, at) in news.iter().enumerate() {
        let next = news.get(n + 1).copied().unwrap_or(end);
        let cut = truth.cuts.iter().any(|c| c.from <= at + MEETS && c.until > *at);
        if next >= at + MEETS && !cut {
            // Soon after, and as late as nothing new has come.
            moments.extend([at + MEETS, next.saturating_sub(1).min(end - 1)]);
        }
    }
    let mut view = vec![vec![Word::Dead; truth.names.len()]; truth.names.len()];
    let mut sights = truth.sights.iter().peekable();
    let mut began = vec![0; truth.names.len()];
    for at in moments {
        report.moments += 1;
        while let Some(s) = sights.next_if(|s| s.at <= at) {
            // A new life of a viewer has seen nobody yet.
            let life = truth.up(s.viewer, s.at).map_or(0, |l| l.from);
            if std::mem::replace(&mut began[s.viewer], life) != life {
                view[s.viewer].fill(Word::Dead);
            }
            view[s.viewer][s.of] = s.word;
        }
        for viewer in 0..truth.names.len() {
            if truth.up(viewer, at).is_none() || truth.halted_within(viewer, at, at, 0) {
                continue;
            }
            let here = truth.up(viewer, at).map_or(0, |l| l.from);
            for of in (0..truth.names.len()).filter(|of| *of != viewer) {
                let (is_in, name) = (view[viewer][of] == Word::In && began[viewer] == here, &truth.names[of]);
                let gone = truth.down_since(of, at).is_some_and(|since| since + KNOWN_TO_ALL <= at);
                let up = truth.up(of, at).is_some_and(|l| l.from + MEETS <= at);
                report.compared += u64::from(gone || up);
                if up && !is_in {
                    report.note(at, format!("{} does not see {name}, which is up", truth.names[viewer]));
                }
                if gone && is_in {
                    report.note(at, format!("{} still sees {name}, which is not", truth.names[viewer]));
                }
            }
        }
    }
}
