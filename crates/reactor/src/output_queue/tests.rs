//! The queue writes all bytes in order, and copies no large frame.

use super::*;

/// Accepts a few bytes with each write, and fails from time to time as a socket does.
#[derive(Default)]
struct SlowSocket {
    written: Vec<u8>,
    writes: usize,
    addresses: Vec<*const u8>,
}

impl Write for SlowSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writes += 1;
        match self.writes % 5 {
            0 => return Err(io::ErrorKind::WouldBlock.into()),
            1 => return Err(io::ErrorKind::Interrupted.into()),
            _ => {}
        }
        let accepted = bytes.len().min(1 + self.writes * 37 % 3_000);
        self.addresses.push(bytes.as_ptr());
        self.written.extend_from_slice(&bytes[..accepted]);
        Ok(accepted)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn frames_of_all_sizes_are_written_in_order() {
    let mut queue = OutputQueue::default();
    let mut expected = vec![];
    let mut socket = SlowSocket::default();
    for (number, size) in
        [1, 5_000, 100, 4_095, 4_096, 9_000, 300, 20_000, 7].into_iter().cycle().take(90).enumerate()
    {
        let frame = Bytes::from(vec![number as u8; size]);
        expected.extend_from_slice(&frame);
        queue.push(&frame);
        queue.write_to(&mut socket).expect("a write");
        assert_eq!(queue.len(), expected.len() - socket.written.len());
    }
    while !queue.is_empty() {
        queue.write_to(&mut socket).expect("a write");
    }
    assert!(socket.written == expected, "the bytes differ");
}

/// Guards against a second copy of each body that is being sent, which no limit of memory counts.
#[test]
fn a_large_frame_is_not_copied() {
    let body = Bytes::from(vec![7; 250_000]);
    let mut queue = OutputQueue::default();
    queue.push(&Bytes::from_static(b"head"));
    queue.push(&body);
    let mut socket = SlowSocket::default();
    while !queue.is_empty() {
        queue.write_to(&mut socket).expect("a write");
    }
    assert!(socket.addresses.contains(&body.as_ptr()), "the body was copied");
    assert!(body.is_unique(), "the queue keeps what it has written");
}
