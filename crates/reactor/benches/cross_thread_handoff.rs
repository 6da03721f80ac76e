//! Measures the cost of handing a frame to another thread and back: a queue in each direction and a wake-up of the other
//! event loop. Designs with one deciding core, with sessions pinned to cores or with one acceptor all pay this cost.
//! `cargo bench -p tideroute-reactor --bench cross_thread_handoff`.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use polling::{Events, Poller};

/// Number of frames handed over for each row of the output.
const FRAMES: u64 = 20_000;

struct Frame {
    /// When it was handed over; `None` stops the echo thread.
    sent_at: Option<Instant>,
    _bytes: [u8; 64],
}

fn frame(sent_at: Option<Instant>) -> Frame {
    Frame { sent_at, _bytes: [0; 64] }
}

/// Sends all received frames back, and sleeps on `poller` while there are none, as an event loop does.
fn echo(requests: Receiver<Frame>, poller: Arc<Poller>, replies: Sender<Frame>, reply_poller: Arc<Poller>) {
    let mut events = Events::new();
    loop {
        events.clear();
        poller.wait(&mut events, Some(Duration::from_millis(100))).expect("the poller should work");
        let mut has_replied = false;
        while let Ok(frame) = requests.try_recv() {
            if frame.sent_at.is_none() {
                return;
            }
            replies.send(frame).expect("the other thread should be running");
            has_replied = true;
        }
        if has_replied {
            reply_poller.notify().expect("the poller should work");
        }
    }
}

/// Returns the sorted round-trip times in microseconds, with `batch_size` frames handed over at a time.
fn round_trips(batch_size: u64) -> Vec<f64> {
    let pollers = [(); 2].map(|()| Arc::new(Poller::new().expect("the poller should be created")));
    let ((request_sender, requests), (reply_sender, replies)) = (channel(), channel());
    let [main_poller, echo_poller] = pollers;
    let thread_pollers = (echo_poller.clone(), main_poller.clone());
    let thread = std::thread::spawn(move || echo(requests, thread_pollers.0, reply_sender, thread_pollers.1));
    let (mut round_trips, mut events) = (vec![], Events::new());
    for _ in 0..FRAMES / batch_size {
        for _ in 0..batch_size {
            request_sender.send(frame(Some(Instant::now()))).expect("the other thread should be running");
        }
        echo_poller.notify().expect("the poller should work");
        let mut outstanding = batch_size;
        while outstanding > 0 {
            events.clear();
            main_poller.wait(&mut events, Some(Duration::from_millis(100))).expect("the poller should work");
            while let Ok(frame) = replies.try_recv() {
                round_trips.extend(frame.sent_at.map(|sent_at| sent_at.elapsed().as_secs_f64() * 1e6));
                outstanding -= 1;
            }
        }
    }
    request_sender.send(frame(None)).expect("the other thread should be running");
    echo_poller.notify().expect("the poller should work");
    thread.join().expect("the echo thread should end");
    round_trips.sort_by(f64::total_cmp);
    round_trips
}

fn main() {
    println!("frames at once   round trip p50, us      p99 us   all frames, us each");
    for batch_size in [1, 8, 64] {
        let started_at = Instant::now();
        let round_trips = round_trips(batch_size);
        let per_frame = started_at.elapsed().as_secs_f64() * 1e6 / round_trips.len() as f64;
        let percentile = |fraction: f64| round_trips[((round_trips.len() - 1) as f64 * fraction) as usize];
        println!("{batch_size:>14}{:>23.1}{:>12.1}{per_frame:>22.2}", percentile(0.5), percentile(0.99));
    }
}
