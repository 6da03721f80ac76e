//! A group on a loop: datagrams come and go through a seal, and what is seen is told to whom it concerns.

use bytes::Bytes;
use metrics::{counter, gauge};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::gossip::{MemberStatus, LARGEST};
use tideroute_wire::{Address, Micros};

use crate::group::{Act, Counts, Group};
use crate::seal::Seal;
use crate::table::Seen;
use crate::terms::Terms;

/// Microseconds alone after which that is said aloud, and again and again.
const ALONE: Micros = 2_000_000;

/// One member of a fleet as a program. Any letter that it is told ends it, as a signal would.
pub struct Member {
    group: Group,
    seal: Seal,
    /// When its loop calls it next.
    rings_at: Micros,
    alone_since: Option<Micros>,
    told: Counts,
}

impl Member {
    pub fn new(terms: Terms, seal: Seal, now: Micros) -> Member {
        let group = Group::new(terms, now);
        Member { group, seal, rings_at: 0, alone_since: Some(now), told: Counts::default() }
    }

    /// Tells what the group counts, and that it is alone.
    fn tell(&mut self, now: Micros) {
        let (counts, told) = (self.group.counts(), self.told);
        for (what, now, then) in [
            ("probes", counts.probes, told.probes),
            ("unanswered", counts.unanswered, told.unanswered),
            ("suspected", counts.suspected, told.suspected),
            ("declared dead", counts.declared, told.declared),
            ("refuted", counts.refuted, told.refuted),
            ("from the future", counts.future, told.future),
            ("no room", counts.unkept, told.unkept),
            ("quarrels", counts.quarrels, told.quarrels),
            ("late", counts.late, told.late),
        ] {
            if now > then {
                counter!("tideroute_fleet_total", "what" => what).increment(now - then);
            }
        }
        self.told = counts;
        let alone = self.group.others() == 0;
        gauge!("tideroute_fleet_others").set(self.group.others() as f64);
        gauge!("tideroute_fleet_health").set(f64::from(self.group.health()));
        gauge!("tideroute_fleet_alone").set(f64::from(u8::from(alone)));
        self.alone_since = self.alone_since.filter(|_| alone).or(alone.then_some(now));
        if self.alone_since.is_some_and(|since| now >= since + ALONE) {
            self.alone_since = Some(now);
            tracing::warn!("alone: no other router of the fleet answers, nor does a seed");
        }
    }
}

impl EventHandler for Member {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.on_iteration(now, effects);
    }

    fn on_accepted(&mut self, _now: Micros, connection: ConnectionId, _door: usize, effects: &mut Effects) {
        effects.abort(connection);
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, _now: Micros, _link: ConnectionId, _frame: &Bytes, _out: &mut Effects) {}

    fn on_disconnect(
        &mut self,
        _now: Micros,
        _link: ConnectionId,
        _loss: DisconnectReason,
        _out: &mut Effects,
    ) {
    }

    fn on_backpressure(&mut self, _now: Micros, _link: ConnectionId, _crowded: bool, _out: &mut Effects) {}

    fn on_datagram(
        &mut self,
        now: Micros,
        _door: usize,
        from: Address,
        datagram: &Bytes,
        _out: &mut Effects,
    ) {
        counter!("tideroute_fleet_bytes_total", "way" => "in").increment(datagram.len() as u64);
        // What cannot be opened or read is dropped and counted, and never answered.
        let dropped = if datagram.len() > LARGEST {
            Some("oversized")
        } else {
            match self.seal.open(datagram) {
                Err(why) => Some(why.name()),
                Ok(said) => self.group.heard(now, from, &said).err().map(|_| "unreadable"),
            }
        };
        if let Some(why) = dropped {
            counter!("tideroute_fleet_dropped_total", "why" => why).increment(1);
            tracing::debug!(why, "a datagram was dropped");
        }
    }

    fn on_timer(&mut self, _now: Micros, _key: u64, _out: &mut Effects) {}

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(act) = self.group.next(now) {
            match act {
                Act::Say { to, said } => {
                    let datagram = self.seal.close(&said);
                    counter!("tideroute_fleet_bytes_total", "way" => "out").increment(datagram.len() as u64);
                    effects.send_datagram(0, to, datagram);
                }
                Act::Saw(seen) => saw(&seen, effects),
            }
        }
        self.tell(now);
        let due = self.group.due();
        if due < Micros::MAX && (due < self.rings_at || self.rings_at <= now) {
            self.rings_at = due;
            effects.set_timer(due, 0);
        }
    }

    fn on_message(&mut self, now: Micros, _letter: &Bytes, effects: &mut Effects) {
        self.on_shutdown(now, effects);
    }

    fn on_shutdown(&mut self, now: Micros, _out: &mut Effects) {
        self.group.leave(now);
    }

    fn is_finished(&self) -> bool {
        self.group.left()
    }
}

fn saw(seen: &Seen, effects: &mut Effects) {
    let standing = match seen.standing {
        MemberStatus::Alive => "there",
        MemberStatus::Suspected => "suspected",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    };
    tracing::info!(name = seen.name, incarnation = seen.incarnation, standing, "saw a router of the fleet");
    counter!("tideroute_fleet_seen_total", "standing" => standing).increment(1);
    effects.annotate_capture(format!("{standing} {} {}", seen.incarnation, seen.name));
}
