//! What it costs to hand a frame to another core and back, as every design with one deciding core, with sessions
//! pinned to cores or with one acceptor must do: a queue each way and a wake-up of the other loop.
//! `cargo bench -p tideroute-reactor --bench cross_thread_handoff`.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use polling::{Events, Poller};

/// Frames handed over for each figure.
const FRAMES: u64 = 20_000;

struct Frame {
    /// When it was handed over; None ends the other side.
    at: Option<Instant>,
    _bytes: [u8; 64],
}

fn frame(at: Option<Instant>) -> Frame {
    Frame { at, _bytes: [0; 64] }
}

/// Hands back all that comes, as a loop does that sleeps while nothing comes.
fn echo(received: Receiver<Frame>, poller: Arc<Poller>, back: Sender<Frame>, other: Arc<Poller>) {
    let mut events = Events::new();
    loop {
        events.clear();
        poller.wait(&mut events, Some(Duration::from_millis(100))).expect("a poller that works");
        let mut any = false;
        while let Ok(frame) = received.try_recv() {
            if frame.at.is_none() {
                return;
            }
            back.send(frame).expect("the other side is there");
            any = true;
        }
        if any {
            other.notify().expect("a poller that works");
        }
    }
}

/// Returns the round-trip time of each frame in microseconds, in ascending order. The frames are handed over in groups of
/// `at_once`.
fn round_trips(at_once: u64) -> Vec<f64> {
    let pollers = [(); 2].map(|()| Arc::new(Poller::new().expect("a poller")));
    let ((there, received), (back, answers)) = (channel(), channel());
    let [near, far] = pollers;
    let other = (far.clone(), near.clone());
    let thread = std::thread::spawn(move || echo(received, other.0, back, other.1));
    let (mut took, mut events) = (vec![], Events::new());
    for _ in 0..FRAMES / at_once {
        for _ in 0..at_once {
            there.send(frame(Some(Instant::now()))).expect("the other side is there");
        }
        far.notify().expect("a poller that works");
        let mut left = at_once;
        while left > 0 {
            events.clear();
            near.wait(&mut events, Some(Duration::from_millis(100))).expect("a poller that works");
            while let Ok(frame) = answers.try_recv() {
                took.extend(frame.at.map(|at| at.elapsed().as_secs_f64() * 1e6));
                left -= 1;
            }
        }
    }
    there.send(frame(None)).expect("the other side is there");
    far.notify().expect("a poller that works");
    thread.join().expect("it ends");
    took.sort_by(f64::total_cmp);
    took
}

fn main() {
    println!("frames at once   there and back p50      p99 us   all frames, us each");
    for at_once in [1, 8, 64] {
        let began = Instant::now();
        let took = round_trips(at_once);
        let each = began.elapsed().as_secs_f64() * 1e6 / took.len() as f64;
        let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
        println!("{at_once:>14}{:>23.1}{:>12.1}{each:>22.2}", at(0.5), at(0.99));
    }
}
