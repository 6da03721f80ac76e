//! Sends to the mailbox of a loop from several threads at once. A sender must not lose a message because another thread
//! is sending at the same moment.

use std::sync::Barrier;

use bytes::Bytes;
use tideroute_reactor::Reactor;

#[test]
fn messages_sent_at_the_same_moment_are_all_accepted_while_there_is_capacity() {
    let mut reactor = Reactor::new(&[]).expect("the loop is created");
    let mailbox = reactor.mailbox();
    let (cores, messages_per_core) = (4, 250);
    let barrier = Barrier::new(cores);
    let accepted: usize = std::thread::scope(|scope| {
        let send_messages = || {
            barrier.wait();
            (0..messages_per_core).filter(|_| mailbox.try_send(Bytes::from_static(b"figures"))).count()
        };
        let threads: Vec<_> = (0..cores).map(|_| scope.spawn(send_messages)).collect();
        threads.into_iter().map(|thread| thread.join().expect("the sending thread does not panic")).sum()
    });
    assert_eq!(accepted, cores * messages_per_core);
}
