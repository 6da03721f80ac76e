//! Reads consecutive little-endian fields.

use crate::error::RecordError;

/// Reads fields from a header or from the records of a batch. Reading past the end is an error that names the field.
pub struct FieldReader<'a> {
    data: &'a [u8],
    position: usize,
}

macro_rules! number {
    ($name:ident, $kind:ty) => {
        pub fn $name(&mut self, field: &'static str) -> Result<$kind, RecordError> {
            Ok(<$kind>::from_le_bytes(self.array(field)?))
        }
    };
}

impl<'a> FieldReader<'a> {
    pub fn new(data: &'a [u8]) -> Self {
        FieldReader { data, position: 0 }
    }

    /// Offset of the next field, in bytes.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Number of bytes that have not been read.
    pub fn remaining(&self) -> usize {
        self.data.len() - self.position
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], RecordError> {
        let position = self.position;
        let remaining = self.remaining();
        if count > remaining {
            return Err(RecordError::Truncated { field, position, needed: count, remaining });
        }
        self.position += count;
        Ok(&self.data[position..self.position])
    }

    /// Reads `N` bytes into an array.
    pub fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], RecordError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, field)?);
        Ok(array)
    }

    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);
    number!(f32, f32);
    number!(f64, f64);
}
