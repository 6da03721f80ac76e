//! The mailbox of a loop, from several threads at once.

use std::sync::Barrier;

use bytes::Bytes;
use tideroute_reactor::Reactor;

#[test]
fn messages_sent_at_the_same_moment_are_all_accepted_while_there_is_capacity() {
    let mut reactor = Reactor::new(&[]).expect("a loop");
    let mailbox = reactor.mailbox();
    let (cores, each) = (4, 250);
    let barrier = Barrier::new(cores);
    let accepted: usize = std::thread::scope(|scope| {
        let send_each = || {
            barrier.wait();
            (0..each).filter(|_| mailbox.try_send(Bytes::from_static(b"figures"))).count()
        };
        let threads: Vec<_> = (0..cores).map(|_| scope.spawn(send_each)).collect();
        threads.into_iter().map(|t| t.join().expect("a core")).sum()
    });
    assert_eq!(accepted, cores * each);
}
