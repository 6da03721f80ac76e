//! Reads batches until the input ends and writes their replies.

use std::io::{Read, Write};

use crate::batch::{handle_batch, BatchHeader, HEADER_LENGTH};
use crate::error::AdapterError;
use crate::instances::Instances;

/// Serves the bench until the input ends. It is an error if the input ends within a batch.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    while let Some(header) = read_header(&mut input)? {
        let body = read_body(&mut input, &header)?;
        let reply = handle_batch(&header, &body, &mut instances)?;
        output.write_all(&reply).map_err(AdapterError::Output)?;
        output.flush().map_err(AdapterError::Output)?;
    }
    Ok(())
}

/// Reads the next header; returns `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, AdapterError> {
    let bytes = read_up_to(input, HEADER_LENGTH as u64)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    let Ok(header) = <[u8; HEADER_LENGTH]>::try_from(bytes.as_slice()) else {
        return Err(AdapterError::TruncatedHeader { expected: HEADER_LENGTH, received: bytes.len() });
    };
    BatchHeader::decode(&header).map(Some)
}

fn read_body(input: &mut impl Read, header: &BatchHeader) -> Result<Vec<u8>, AdapterError> {
    let body = read_up_to(input, u64::from(header.length))?;
    if body.len() < header.length as usize {
        return Err(AdapterError::TruncatedBatch {
            batch: header.batch,
            expected: header.length,
            received: body.len(),
        });
    }
    Ok(body)
}

/// Reads `count` bytes, or fewer if the input ends before. Memory grows with the bytes that are received, not with the
/// length that a header announces.
fn read_up_to(input: &mut impl Read, count: u64) -> Result<Vec<u8>, AdapterError> {
    let mut data = Vec::new();
    input.take(count).read_to_end(&mut data).map_err(AdapterError::Input)?;
    Ok(data)
}
