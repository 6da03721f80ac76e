//! Little-endian fields, read with bounds checked and written back to back.

pub struct Fields<'a> {
    data: &'a [u8],
    pub at: usize,
}

macro_rules! number {
    ($name:ident, $kind:ty) => {
        pub fn $name(&mut self, what: &str) -> Result<$kind, String> {
            Ok(<$kind>::from_le_bytes(self.array(what)?))
        }
    };
}

impl<'a> Fields<'a> {
    pub fn new(data: &'a [u8]) -> Self {
        Fields { data, at: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.at >= self.data.len()
    }

    pub fn bytes(&mut self, count: usize, what: &str) -> Result<&'a [u8], String> {
        let left = self.data.len() - self.at;
        if count > left {
            return Err(format!("{what} at byte {} needs {count} bytes, {left} are left", self.at));
        }
        self.at += count;
        Ok(&self.data[self.at - count..self.at])
    }

    pub fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], String> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, what)?);
        Ok(array)
    }

    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);
    number!(f32, f32);
    number!(f64, f64);
}
