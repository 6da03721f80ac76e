//! The box of a loop, from several threads at once.

use std::sync::Barrier;

use bytes::Bytes;
use tideroute_reactor::Reactor;

#[test]
fn letters_offered_in_the_same_moment_are_all_taken_while_there_is_room() {
    let mut reactor = Reactor::new(&[]).expect("a loop");
    let mailbox = reactor.mailbox();
    let (cores, each) = (4, 250);
    let together = Barrier::new(cores);
    let taken: usize = std::thread::scope(|scope| {
        let offer = || {
            together.wait();
            (0..each).filter(|_| mailbox.try_send(Bytes::from_static(b"figures"))).count()
        };
        let threads: Vec<_> = (0..cores).map(|_| scope.spawn(offer)).collect();
        threads.into_iter().map(|t| t.join().expect("a core")).sum()
    });
    assert_eq!(taken, cores * each);
}
